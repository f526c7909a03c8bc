#ifndef ALMONDLINK_SERVER_SRC_BEAST_HTTP_H_
#define ALMONDLINK_SERVER_SRC_BEAST_HTTP_H_

#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <string>
#include <utility>

#include "almondlink/server/http_types.h"

/// What the caller's and the target's leg share of Boost.Beast.
namespace almondlink::server {

constexpr unsigned kHttp11 = 11;

/// Whether the error is of what was read, not of the connection.
inline bool IsHttpError(boost::beast::error_code error) {
  return error.category() ==
         make_error_code(boost::beast::http::error::end_of_stream).category();
}

/// Fields of a parsed message, without those of its connection.
inline Headers TakeHeaders(const boost::beast::http::fields& fields) {
  Headers headers;
  for (const auto& field : fields) {
    wire::Header header{std::string(field.name_string()),
                        std::string(field.value())};
    if (!IsHopByHop(header.name)) {
      headers.push_back(std::move(header));
    }
  }
  return headers;
}

}  // namespace almondlink::server

#endif  // ALMONDLINK_SERVER_SRC_BEAST_HTTP_H_
