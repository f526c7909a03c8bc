#include "almondlink/relay/http_parser.h"

#include <catch2/catch.hpp>

namespace almondlink::relay {
namespace {

const HeaderNames kNames = {"X-Id",   "X-Left", "X-Caller",  "X-Target",
                            "X-Seal", "X-Not",  "X-Instance"};

TEST_CASE(
    "hop-by-hop fields and fields reserved for the node are not forwarded") {
  RequestParser parser(kNames);
  std::string input =
      "POST /a/b?c=d HTTP/1.1\r\nHost: h\r\nX-Id: 7\r\nX-Left: 500\r\n"
      "x-caller: forged\r\nX-TARGET: forged\r\nConnection: keep-alive, "
      "X-Hop\r\n"
      "X-Hop: 1\r\nKeep-Alive: timeout=3\r\nX-Kept: yes\r\n"
      "Content-Length: 3\r\n\r\nabcNEXT";
  REQUIRE(parser.Feed(input) == ParseStatus::kDone);
  REQUIRE(input == "NEXT");
  REQUIRE(parser.body == "abc");
  REQUIRE(parser.head.method == "POST");
  REQUIRE(parser.head.target == "/a/b?c=d");
  REQUIRE(parser.head.id == "7");
  REQUIRE(parser.head.time_left_ms == 500);
  REQUIRE(parser.head.fields == "Host: h\r\nX-Id: 7\r\nX-Kept: yes\r\n");
}

TEST_CASE("a message is complete however its bytes are split") {
  const std::string all =
      "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
      "5\r\nhello\r\n6;x=y\r\n world\r\n0\r\n\r\n";
  for (std::size_t cut = 1; cut < all.size(); ++cut) {
    RequestParser parser(kNames);
    std::string input = all.substr(0, cut);
    REQUIRE(parser.Feed(input) == ParseStatus::kNeedMore);
    input += all.substr(cut);
    REQUIRE(parser.Feed(input) == ParseStatus::kDone);
    REQUIRE(parser.body == "hello world");
  }
}

TEST_CASE("an ambiguous length is rejected") {
  // Such ambiguity allows request smuggling.
  for (const char* fields :
       {"Content-Length: 5\r\nContent-Length: 6\r\n",
        "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n",
        "Content-Length: -1\r\n"}) {
    RequestParser parser(kNames);
    std::string input =
        std::string("POST / HTTP/1.1\r\nHost: h\r\n") + fields + "\r\nhello";
    REQUIRE(parser.Feed(input) == ParseStatus::kMalformed);
  }
}

TEST_CASE("an answer without a length is complete only at a regular close") {
  AnswerParser parser(kNames);
  std::string input =
      "HTTP/1.1 200 OK\r\nX-Id: 7\r\nX-Seal: s\r\nConnection: "
      "close\r\n\r\npart";
  REQUIRE(parser.Feed(input) == ParseStatus::kNeedMore);
  REQUIRE(parser.head.has_seal);
  REQUIRE_FALSE(parser.head.is_keep_alive);
  REQUIRE(parser.FinishAtEof());
  REQUIRE(parser.body == "part");
}

TEST_CASE("an answer that ends before its length is incomplete") {
  AnswerParser parser(kNames);
  std::string input = "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart";
  REQUIRE(parser.Feed(input) == ParseStatus::kNeedMore);
  REQUIRE_FALSE(parser.FinishAtEof());
}

TEST_CASE("a malformed trailer is rejected however its bytes are split") {
  // Guards against an assertion in Beast that aborted the process on this input
  // in builds with assertions.
  const std::string text =
      "HTTP/1.1 200 OK\r\nX-Id: 7\r\nTransfer-Encoding: chunked\r\n\r\n"
      "0\r\nabc\r\n\r\r\n\r\n";
  AnswerParser unsplit(kNames);
  std::string input = text;
  REQUIRE(unsplit.Feed(input) == ParseStatus::kMalformed);
  AnswerParser pieces(kNames);
  ParseStatus step = ParseStatus::kNeedMore;
  std::string fed;
  for (std::size_t i = 0; i < text.size() && step == ParseStatus::kNeedMore;
       ++i) {
    fed.push_back(text[i]);
    step = pieces.Feed(fed);
  }
  REQUIRE(step == ParseStatus::kMalformed);
}

TEST_CASE("control fields of an answer are parsed and removed") {
  AnswerParser parser(kNames);
  std::string input =
      "HTTP/1.1 503 Service Unavailable\r\nX-Not: 1\r\nX-Instance: i-2\r\n"
      "Content-Encoding: gzip\r\nKeep-Alive: timeout=10\r\n"
      "Content-Length: 0\r\n\r\nextra";
  REQUIRE(parser.Feed(input) == ParseStatus::kDone);
  REQUIRE(parser.head.status == 503);
  REQUIRE(parser.head.is_not_run);
  REQUIRE(parser.head.is_encoded);
  REQUIRE(parser.head.instance_id == "i-2");
  REQUIRE(parser.head.keep_alive_s == 10);
  // Surplus bytes belong to no request; the connection is not reused.
  REQUIRE(input == "extra");
}

TEST_CASE("a rate limit is a finite number from 0 up, anything else is none") {
  HeaderNames names = kNames;
  names.rate_limit = "X-Limit";
  names.leaving = "X-Leaving";
  const auto parse = [&names](const std::string& fields) {
    AnswerParser parser(names);
    std::string input =
        "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n" + fields + "\r\n";
    REQUIRE(parser.Feed(input) == ParseStatus::kDone);
    // Callers receive the fields too.
    REQUIRE(parser.head.fields == fields);
    return parser.head;
  };
  REQUIRE(parse("X-Limit: 36.4\r\n").rate_limit == 36.4);
  REQUIRE(parse("x-limit: 0\r\n").rate_limit == 0.0);
  for (const char* text : {"soon", "-3", "nan", "inf", "1e999", "4 a second"}) {
    CAPTURE(text);
    REQUIRE(!parse(std::string("X-Limit: ") + text + "\r\n")
                 .rate_limit.has_value());
  }
  REQUIRE(!parse("").is_leaving);
  REQUIRE(!parse("X-Leaving: 0\r\n").is_leaving);
  REQUIRE(parse("X-Leaving: 1\r\n").is_leaving);
}

TEST_CASE("a chunk extension or a trailer of any length is not collected") {
  // Without end, such bytes would fill the node's memory.
  const std::string head =
      "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";
  const std::string filler(16 * 1024, 'x');
  for (const std::string& start :
       {head + "5;x=", head + "5\r\nhello\r\n0\r\nX-Long: "}) {
    RequestParser parser(kNames);
    std::string input = start;
    ParseStatus status = ParseStatus::kNeedMore;
    for (int i = 0; i < 64 && status == ParseStatus::kNeedMore; ++i) {
      input += filler;
      status = parser.Feed(input);
    }
    REQUIRE(status == ParseStatus::kMalformed);
  }
}

TEST_CASE("a trailer does not change whose answer it is") {
  AnswerParser parser(kNames);
  std::string input =
      "HTTP/1.1 200 OK\r\nX-Id: 7\r\nTransfer-Encoding: chunked\r\n\r\n"
      "5\r\nhello\r\n0\r\nX-Id: 8\r\nX-Seal: s\r\nX-Not: 1\r\n\r\n";
  REQUIRE(parser.Feed(input) == ParseStatus::kDone);
  REQUIRE(parser.head.id == "7");
  REQUIRE_FALSE(parser.head.has_seal);
  REQUIRE_FALSE(parser.head.is_not_run);
}

}  // namespace
}  // namespace almondlink::relay
