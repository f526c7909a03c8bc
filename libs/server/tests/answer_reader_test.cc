#include "libs/server/src/answer_reader.h"

#include <boost/asio/buffer.hpp>
#include <catch2/catch.hpp>
#include <string>
#include <vector>

/// Guards against bytes of one answer that are taken for another one: whatever
/// stands before the own answer, and wherever reads cut it.
namespace almondlink::server {
namespace {

const std::string kOwnId = "own0";
constexpr AnswerLimits kLimits{4096, 4096};

std::string Answer(const std::string& id,
                   const std::string& body,
                   const std::string& fields = "") {
  const std::string id_field =
      id.empty() ? "" : "Almondlink-Attempt-Id: " + id + "\r\n";
  return "HTTP/1.1 200 OK\r\n" + id_field + fields +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

struct Read {
  ReadStep step = ReadStep::kNeedMore;
  std::string body;
  bool may_follow = false;
  std::size_t left_over = 0;
  std::uint32_t foreign = 0;
};

/// Feeds `pieces` until the reader ends.
Read ReadPieces(const ExpectedAnswer& expected,
                const std::vector<std::string>& pieces) {
  AnswerReader reader(expected, kLimits);
  boost::beast::flat_buffer input;
  Read read;
  for (const std::string& piece : pieces) {
    input.commit(boost::asio::buffer_copy(input.prepare(piece.size()),
                                          boost::asio::buffer(piece)));
    if (read.step == ReadStep::kNeedMore) {
      read.step = reader.Feed(input);
    }
  }
  read.left_over = input.size();
  read.foreign = reader.Foreign();
  if (read.step == ReadStep::kDone) {
    read.may_follow = reader.MayFollow();
    const TargetAnswer answer = reader.Take();
    read.body.assign(answer.body.begin(), answer.body.end());
  }
  return read;
}

ExpectedAnswer Expect(bool is_fresh, bool needs_no_id = false) {
  ExpectedAnswer expected;
  expected.id = kOwnId;
  expected.trust = {is_fresh, needs_no_id};
  return expected;
}

/// Reads `bytes` cut in two at each place, and byte by byte.
std::vector<Read> ReadAllWays(const ExpectedAnswer& expected,
                              const std::string& bytes) {
  std::vector<Read> reads = {ReadPieces(expected, {bytes})};
  std::vector<std::string> single;
  for (std::size_t cut = 1; cut < bytes.size(); ++cut) {
    reads.push_back(
        ReadPieces(expected, {bytes.substr(0, cut), bytes.substr(cut)}));
    single.push_back(bytes.substr(cut - 1, 1));
  }
  single.push_back(bytes.substr(bytes.size() - 1));
  reads.push_back(ReadPieces(expected, single));
  return reads;
}

/// What a target may have left on the connection from the request before.
const std::vector<std::string> kSurplus = {
    Answer("other", "foreign"),
    Answer("", "foreign"),
    Answer("own", "foreign"),
    Answer("own01", "foreign"),
    Answer("", "foreign", "almondlink-attempt-id: OWN0\r\n"),
    Answer("other", "foreign", "Almondlink-Attempt-Id: own0\r\n"),
    Answer("other", "foreign", "Connection: close\r\n"),
    "HTTP/1.1 100 Continue\r\n\r\n",
    "HTTP/1.1 204 No Content\r\n\r\nforeign",
    "HTTP/1.1 304 Not Modified\r\nContent-Length: 7\r\n\r\nforeign",
    "HTTP/1.1 200 OK\r\nAlmondlink-Attempt-Id: other\r\n\r\nforeign",
    "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 7\r\n\r\nforeign",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n7\r\nforeign\r\n",
    "foreign",
    "foreign\r\n\r\n",
    "\r\n",
    std::string("\0\0\0\0", 4),
    "HTTP/1.1 503 Busy\r\nAlmondlink-Verdict: not-run\r\n\r\n",
};

TEST_CASE("whatever was left on a connection is delivered to nobody") {
  for (const std::string& surplus : kSurplus) {
    INFO(surplus);
    for (const Read& read :
         ReadAllWays(Expect(false), surplus + Answer(kOwnId, "mine"))) {
      const bool is_own = read.step == ReadStep::kDone && read.body == "mine";
      CHECK((is_own || read.step == ReadStep::kFailed));
      // After something foreign the connection is given up.
      CHECK_FALSE((read.may_follow && read.foreign > 0));
    }
  }
}

TEST_CASE("the own answer is found behind another request's") {
  const std::string bytes = Answer("other", "foreign") +
                            "HTTP/1.1 100 Continue\r\n\r\n" +
                            Answer("another", "") + Answer(kOwnId, "mine");
  for (const Read& read : ReadAllWays(Expect(false), bytes)) {
    CHECK(read.step == ReadStep::kDone);
    CHECK(read.body == "mine");
    CHECK(read.foreign == 2);
  }
}

TEST_CASE("another request's answers without end are not waited out") {
  std::string bytes;
  for (int i = 0; i < 10; ++i) {
    bytes += Answer("other", "foreign");
  }
  CHECK(ReadPieces(Expect(false), {bytes}).step == ReadStep::kFailed);
}

TEST_CASE("bytes behind the own answer are left over, at every cut") {
  for (const std::string& surplus : kSurplus) {
    INFO(surplus);
    const std::string own = Answer(kOwnId, "mine");
    for (const Read& read : ReadAllWays(Expect(false), own + surplus)) {
      CHECK(read.step == ReadStep::kDone);
      CHECK(read.body == "mine");
      CHECK(read.left_over == surplus.size());
    }
  }
}

TEST_CASE("an answer without id is delivered on a fresh connection only") {
  const std::string bytes = Answer("", "mine");
  for (const Read& read : ReadAllWays(Expect(true), bytes)) {
    CHECK(read.step == ReadStep::kDone);
    CHECK(read.body == "mine");
    CHECK_FALSE(read.may_follow);
  }
  CHECK(ReadPieces(Expect(false), {bytes}).step == ReadStep::kFailed);
  const Read vouched = ReadPieces(Expect(false, true), {bytes});
  CHECK(vouched.step == ReadStep::kDone);
  CHECK(vouched.may_follow);
}

TEST_CASE("an answer with a status that is none fails at once") {
  // They were delivered, or taken for interim answers, so that the answer
  // behind them counted.
  for (const std::string& status :
       {"000", "001", "099", "101", "600", "601", "999"}) {
    INFO(status);
    std::string bytes = "HTTP/1.1 ";
    bytes.append(status).append(" Odd\r\nAlmondlink-Attempt-Id: ");
    bytes.append(kOwnId).append("\r\nContent-Length: 3\r\n\r\nodd");
    bytes.append(Answer(kOwnId, "mine"));
    for (const Read& read : ReadAllWays(Expect(true), bytes)) {
      CHECK(read.step == ReadStep::kFailed);
    }
  }
  CHECK(ReadPieces(Expect(true),
                   {"HTTP/1.1 199 Wait\r\n\r\n" + Answer(kOwnId, "mine")})
            .body == "mine");
}

TEST_CASE("an answer to HEAD ends with its head") {
  ExpectedAnswer expected = Expect(true);
  expected.is_to_head = true;
  const std::string bytes = Answer(kOwnId, "a body that must not be there");
  const Read read = ReadPieces(expected, {bytes});
  CHECK(read.step == ReadStep::kDone);
  CHECK(read.body.empty());
  CHECK(read.left_over == std::string("a body that must not be there").size());
}

TEST_CASE("an answer without a length, or too large, fails at once") {
  const std::string head = "HTTP/1.1 200 OK\r\nAlmondlink-Attempt-Id: own0\r\n";
  for (const std::string& fields :
       {std::string("\r\n"), std::string("Content-Length: 5000\r\n\r\n")}) {
    AnswerReader reader(Expect(true), kLimits);
    boost::beast::flat_buffer input;
    const std::string bytes = head + fields;
    input.commit(boost::asio::buffer_copy(input.prepare(bytes.size()),
                                          boost::asio::buffer(bytes)));
    CHECK(reader.Feed(input) == ReadStep::kFailed);
    CHECK(reader.Fault() == (fields == "\r\n" ? ErrorKind::kTargetBadAnswer
                                              : ErrorKind::kAnswerTooLarge));
  }
}

TEST_CASE("what no limit of the parser bounds is bounded by the reader") {
  // A target that sent such bytes without end filled the node's memory. Here
  // they end after more than the limit, so that a reader without one succeeds.
  const std::string head =
      "HTTP/1.1 200 OK\r\nAlmondlink-Attempt-Id: own0\r\n"
      "Transfer-Encoding: chunked\r\n\r\n";
  const std::string filler(3 * kLimits.max_header, 'x');
  std::string interim;
  for (int i = 0; i < 1000; ++i) {
    interim += "HTTP/1.1 102 Processing\r\n\r\n";
  }
  const std::vector<std::string> answers = {
      head + "4;x=" + filler + "\r\nmine\r\n0\r\n\r\n",
      head + "4\r\nmine\r\n0\r\nX-Trailer: " + filler + "\r\n\r\n",
      interim + Answer(kOwnId, "mine")};
  for (const std::string& answer : answers) {
    INFO(answer.substr(0, 120));
    std::vector<std::string> pieces;
    for (std::size_t at = 0; at < answer.size(); at += 1000) {
      pieces.push_back(answer.substr(at, 1000));
    }
    CHECK(ReadPieces(Expect(true), pieces).step == ReadStep::kFailed);
  }
}

}  // namespace
}  // namespace almondlink::server
