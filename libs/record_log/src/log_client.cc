#include "almondlink/record_log/log_client.h"

#include <cxxtools/http/client.h>
#include <cxxtools/http/request.h>
#include <cxxtools/ioerror.h>
#include <cxxtools/timespan.h>

namespace almondlink::record_log {

namespace {

constexpr unsigned kOk = 200;

StreamName StreamOf(const char* kind, const std::string& deployment) {
  return StreamName(std::string(kind) + "." + deployment);
}

class HttpLog : public Log {
 public:
  explicit HttpLog(const LogClientConfig& config) : config(config) {}

  Result<std::uint64_t> Append(
      const StreamName& stream,
      const std::vector<std::uint8_t>& record) override {
    cxxtools::http::Request request("/streams/" + stream.Value() + "/records");
    request.method("POST");
    request.setHeader("Content-Type", "application/octet-stream");
    request.body().write(reinterpret_cast<const char*>(record.data()),
                         static_cast<std::streamsize>(record.size()));
    BOOST_LEAF_AUTO(body, this->Exchange(request));
    BOOST_LEAF_AUTO(
        appended,
        wire::DecodeLogAppended(
            reinterpret_cast<const std::uint8_t*>(body.data()), body.size()));
    return appended.offset;
  }

  Result<wire::LogPage> Read(const StreamName& stream,
                             std::uint64_t from,
                             std::uint32_t most) override {
    cxxtools::http::Request request("/streams/" + stream.Value() + "/records");
    request.method("GET");
    request.qparams("from=" + std::to_string(from) +
                    "&max=" + std::to_string(most));
    BOOST_LEAF_AUTO(body, this->Exchange(request));
    return wire::DecodeLogPage(
        reinterpret_cast<const std::uint8_t*>(body.data()), body.size());
  }

 private:
  /// One request on a fresh connection.
  Result<std::string> Exchange(cxxtools::http::Request& request) {
    try {
      request.setHeader("Connection", "close");
      const cxxtools::Milliseconds timeout(
          static_cast<double>(this->config.timeout.count));
      cxxtools::http::Client client(this->config.address.ip,
                                    this->config.address.port);
      client.execute(request, timeout, timeout);
      client.readBody();
      if (client.header().httpReturnCode() != kOk) {
        return Fail(ErrorKind::kIo,
                    "the log answered " +
                        std::to_string(client.header().httpReturnCode()));
      }
      return client.body();
    } catch (const cxxtools::IOTimeout&) {
      return Fail(ErrorKind::kTimedOut, "the log did not answer in time");
    } catch (const std::exception& error) {
      return Fail(ErrorKind::kIo, std::string("log: ") + error.what());
    }
  }

  LogClientConfig config;
};

}  // namespace

StreamName BundleStream(const std::string& deployment) {
  return StreamOf("bundle", deployment);
}
StreamName MemberStream(const std::string& deployment) {
  return StreamOf("members", deployment);
}
StreamName UsageStream(const std::string& deployment) {
  return StreamOf("usage", deployment);
}
StreamName ClaimStream(const std::string& deployment,
                       const std::string& service) {
  return StreamName(StreamOf("claims", deployment).Value() + "." + service);
}

std::unique_ptr<Log> MakeHttpLog(const LogClientConfig& config) {
  return std::make_unique<HttpLog>(config);
}

}  // namespace almondlink::record_log
