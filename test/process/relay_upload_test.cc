#include <signal.h>

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <chrono>
#include <filesystem>
#include <memory>
#include <nlohmann/json.hpp>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include "test/support/process_memory.h"
#include "test/support/relay_cluster.h"

/// Requests with large bodies that may run only once: each reaches at most one
/// target, is answered with what happened, and leaves nothing behind in the
/// nodes. Bodies are larger than what the sockets of a target that does not
/// read hold, so a node still has a part of them when the target acts.
namespace almondlink::test {
namespace {

using standins::FakeInstance;
using standins::InstanceFault;
using standins::PlainAnswer;
using std::chrono::milliseconds;
using Tcp = boost::asio::ip::tcp;

constexpr std::size_t kMebibyte = 1024 * 1024;
constexpr std::size_t kMaxBody = 16 * kMebibyte;
constexpr int kFront = 0;
constexpr int kFirstTarget = 1;

const std::vector<RouteSpec> kRoutes = {
    {"upload", "files.example", "/upload/", "files", "unsafe", 30'000}};
/// The memory that the smallest hosts give a node, and the largest body that
/// the operator may allow there.
constexpr std::size_t kHostMemory = 160 * kMebibyte;
constexpr std::size_t kLargestBody = 62 * kMebibyte;

/// A node that callers use, and nodes beside the targets of the upload service.
struct Files {
  RelayCluster cluster;
  int targets;

  Files(int port,
        const std::string& name,
        int targets_in = 1,
        std::size_t max_body = kMaxBody)
      : cluster(port, name), targets(targets_in) {
    this->cluster.Add(Spec("i-front", "front"));
    for (int i = 0; i < this->targets; ++i) {
      FakeInstance::Spec spec = Spec("i-files-" + std::to_string(i), "files");
      spec.capacity = 64;
      this->cluster.Add(spec);
    }
    nlohmann::json config = nlohmann::json::parse(MakeConfig(1, kRoutes));
    config["limits"]["maxBodyBytes"] = max_body;
    this->cluster.Store().Put("keyed.op", "config", config.dump());
    this->cluster.WaitReady();
  }

  PlainAnswer Upload(const std::string& id,
                     const std::string& body,
                     int left_ms = 5000) {
    return this->cluster.Call(kFront, "files.example", "/upload/1", id, "POST",
                              body, left_ms);
  }

  void SetFault(InstanceFault fault) {
    for (int i = 0; i < this->targets; ++i) {
      this->cluster.Instance(kFirstTarget + i).SetFault(fault);
    }
  }

  /// Times that any target received the request.
  int RunsOf(const std::string& id) {
    int runs = 0;
    for (int i = 0; i < this->targets; ++i) {
      runs += this->cluster.Instance(kFirstTarget + i).RunsOf(id);
    }
    return runs;
  }
};

/// A body that shows where a part is missing or doubled.
std::string MakeBody(std::size_t size) {
  std::string body(size, '\0');
  for (std::size_t i = 0; i < size; ++i) {
    body[i] = static_cast<char>('a' + (i / 7 + i / 4096) % 26);
  }
  return body;
}

/// What a node holds: resident memory in bytes, and open sockets.
struct Held {
  std::size_t memory = 0;
  std::size_t sockets = 0;
};

Held HeldBy(const Process& node) {
  const std::string folder = "/proc/" + std::to_string(node.Id());
  Held held;
  held.memory = MemoryOf(node).resident;
  for (const auto& entry :
       std::filesystem::directory_iterator(folder + "/fd")) {
    std::error_code error;
    const std::string link =
        std::filesystem::read_symlink(entry.path(), error).string();
    held.sockets += !error && link.rfind("socket:", 0) == 0 ? 1 : 0;
  }
  return held;
}

/// Checks that all nodes soon hold what they held before. The memory may differ
/// by half a body, so that a node which keeps one is noticed. A node opens its
/// connection to the store anew now and then, so the sockets before are the
/// most within a second.
struct HeldCheck {
  explicit HeldCheck(Files& files_in) : files(files_in) {
    for (int node = 0; node <= this->files.targets; ++node) {
      this->before.push_back(HeldBy(this->files.cluster.Node(node)));
    }
    for (int i = 0; i < 20; ++i) {
      std::this_thread::sleep_for(milliseconds(50));
      for (int node = 0; node <= this->files.targets; ++node) {
        Held& held = this->before[static_cast<std::size_t>(node)];
        held.sockets = std::max(held.sockets,
                                HeldBy(this->files.cluster.Node(node)).sockets);
      }
    }
  }

  void RequireReleased() {
    for (int node = 0; node <= this->files.targets; ++node) {
      const Held& old = this->before[static_cast<std::size_t>(node)];
      Held now;
      const bool is_released = Soon([&]() {
        now = HeldBy(this->files.cluster.Node(node));
        return now.sockets <= old.sockets &&
               now.memory <= old.memory + kMaxBody / 2;
      });
      INFO("node " << node << ": sockets " << old.sockets << " then "
                   << now.sockets << ", memory " << old.memory << " then "
                   << now.memory);
      CHECK(is_released);
    }
  }

  Files& files;
  std::vector<Held> before;
};

/// A caller that writes any bytes and reads the answer whether or not all were
/// taken.
class RawCaller {
 public:
  explicit RawCaller(int port) : socket(loop) {
    this->socket.connect({boost::asio::ip::make_address("127.0.0.1"),
                          static_cast<std::uint16_t>(port)});
  }

  static std::string Head(const std::string& id, const std::string& framing) {
    return "POST /upload/1 HTTP/1.1\r\nHost: files.example\r\nRequest-Id: " +
           id + "\r\nDeadline-Ms: 5000\r\n" + framing + "\r\n\r\n";
  }

  /// Returns whether all bytes were taken.
  bool Write(const std::string& bytes) {
    boost::system::error_code error;
    boost::asio::write(this->socket, boost::asio::buffer(bytes), error);
    return !error;
  }

  /// Status of the answer; 0 if there was none.
  unsigned ReadStatus() {
    boost::system::error_code error;
    std::string answer;
    boost::asio::read_until(this->socket, boost::asio::dynamic_buffer(answer),
                            "\r\n", error);
    unsigned status = 0;
    std::istringstream text(answer);
    std::string version;
    text >> version >> status;
    return status;
  }

 private:
  boost::asio::io_context loop;
  Tcp::socket socket;
};

// Guards against bodies that are cut, doubled or run although they are beyond
// the operator's limit, and against callers that are not told so.
TEST_CASE("a body up to the limit arrives whole and a larger one not at all") {
  Files files(31200, "upload-limit");
  REQUIRE(files.Upload("warm", MakeBody(kMaxBody)).status == 200);
  HeldCheck held(files);
  const std::string whole = MakeBody(kMaxBody);
  REQUIRE(files.Upload("whole", whole).status == 200);
  REQUIRE(files.RunsOf("whole") == 1);
  for (const standins::SeenRequest& seen :
       files.cluster.Instance(kFirstTarget).Seen()) {
    REQUIRE(seen.body == whole);
  }
  REQUIRE(files.Upload("one-more", MakeBody(kMaxBody + 1)).status == 413);
  // Most of this body is still on its way when the node refuses it.
  const PlainAnswer refused = files.Upload("larger", MakeBody(4 * kMaxBody));
  INFO(refused.error);
  CHECK(refused.status == 413);
  RawCaller chunked(files.cluster.CallerPort(kFront));
  std::ostringstream chunk;
  chunk << RawCaller::Head("chunked", "Transfer-Encoding: chunked") << std::hex
        << 2 * kMaxBody << "\r\n";
  chunked.Write(chunk.str() + MakeBody(2 * kMaxBody) + "\r\n0\r\n\r\n");
  CHECK(chunked.ReadStatus() == 413);
  CHECK(files.RunsOf("one-more") == 0);
  CHECK(files.RunsOf("larger") == 0);
  CHECK(files.RunsOf("chunked") == 0);
  REQUIRE(files.Upload("after", "short").status == 200);
  held.RequireReleased();
}

// Guards against an answer that is lost or a request that is sent again because
// the target did not take the whole body before it answered.
TEST_CASE("a target that answers before it has read the body") {
  Files files(31240, "upload-early", 2);
  REQUIRE(files.Upload("warm-1", MakeBody(kMaxBody)).status == 200);
  REQUIRE(files.Upload("warm-2", MakeBody(kMaxBody)).status == 200);
  HeldCheck held(files);
  files.SetFault(InstanceFault::kAnswerBeforeBody);
  for (int i = 0; i < 4; ++i) {
    const std::string id = "early-" + std::to_string(i);
    const PlainAnswer answer = files.Upload(id, MakeBody(kMaxBody));
    CHECK(answer.status == 200);
    CHECK(answer.body == "early");
    CHECK(files.RunsOf(id) == 1);
  }
  files.SetFault(InstanceFault::kShedBeforeBody);
  const PlainAnswer refused = files.Upload("shed", MakeBody(kMaxBody));
  CHECK(refused.status == 503);
  CHECK(!refused.Header("retry-after").empty());
  files.SetFault(InstanceFault::kNone);
  for (int i = 0; i < 4; ++i) {
    const std::string id = "after-" + std::to_string(i);
    CHECK(files.Upload(id, MakeBody(kMebibyte)).status == 200);
    CHECK(files.RunsOf(id) == 1);
  }
  held.RequireReleased();
}

// Guards against a request that is sent to another target, or reported as not
// run, after a target received a part of it and ended.
TEST_CASE("a target that ends halfway through the body") {
  Files files(31300, "upload-end", 2);
  REQUIRE(files.Upload("warm-1", MakeBody(kMaxBody)).status == 200);
  REQUIRE(files.Upload("warm-2", MakeBody(kMaxBody)).status == 200);
  HeldCheck held(files);
  files.SetFault(InstanceFault::kEndInBody);
  const PlainAnswer answer = files.Upload("ends", MakeBody(kMaxBody));
  CHECK(answer.status == 502);
  CHECK(files.RunsOf("ends") == 1);
  files.SetFault(InstanceFault::kNone);
  REQUIRE(Soon([&]() {
    return files
               .Upload("after-" + std::to_string(
                                      files.cluster.Instance(1).Seen().size()),
                       MakeBody(kMebibyte))
               .status == 200;
  }));
  CHECK(files.RunsOf("ends") == 1);
  held.RequireReleased();
}

// Guards against requests that are run without their whole body, and against
// bodies of callers that are gone.
TEST_CASE("a caller that disconnects halfway through the body") {
  Files files(31360, "upload-gone");
  REQUIRE(files.Upload("warm", MakeBody(kMaxBody)).status == 200);
  HeldCheck held(files);
  const std::string body = MakeBody(kMaxBody);
  const std::string framing = "Content-Length: " + std::to_string(body.size());
  {
    std::vector<std::unique_ptr<RawCaller>> callers;
    for (int i = 0; i < 4; ++i) {
      callers.push_back(
          std::make_unique<RawCaller>(files.cluster.CallerPort(kFront)));
      const std::string id = "gone-" + std::to_string(i);
      REQUIRE(callers.back()->Write(RawCaller::Head(id, framing) +
                                    body.substr(0, body.size() / 2)));
    }
    // The node holds what it has received.
    REQUIRE(Soon([&]() {
      return HeldBy(files.cluster.Node(kFront)).memory >
             held.before[kFront].memory + 2 * kMebibyte;
    }));
  }
  held.RequireReleased();
  REQUIRE(files.Upload("after", body).status == 200);
  for (int i = 0; i < 4; ++i) {
    CHECK(files.RunsOf("gone-" + std::to_string(i)) == 0);
  }
  held.RequireReleased();
}

// Guards against memory that grows with the number of bodies that were under
// way at once.
TEST_CASE("what many bodies at once occupy is released") {
  Files files(31400, "upload-many");
  REQUIRE(files.Upload("warm", MakeBody(kMaxBody)).status == 200);
  HeldCheck held(files);
  files.cluster.Instance(kFirstTarget).SetWork(300);
  std::vector<std::thread> callers;
  std::vector<unsigned> statuses(6);
  const std::string body = MakeBody(kMaxBody);
  for (std::size_t i = 0; i < statuses.size(); ++i) {
    callers.emplace_back([&, i]() {
      statuses[i] = files.Upload("many-" + std::to_string(i), body).status;
    });
  }
  for (std::thread& caller : callers) {
    caller.join();
  }
  for (std::size_t i = 0; i < statuses.size(); ++i) {
    INFO("status " << statuses[i]);
    CHECK((statuses[i] == 200 || statuses[i] == 503));
    CHECK(files.RunsOf("many-" + std::to_string(i)) ==
          (statuses[i] == 200 ? 1 : 0));
  }
  held.RequireReleased();
}

// Guards against a node that holds several copies of a body: one upload within
// the operator's limit took it beyond the memory of its host, which ended it.
TEST_CASE("the largest upload fits into the memory of a host") {
  Files files(19800, "upload-largest", 1, kLargestBody + 1);
  REQUIRE(files.Upload("largest", MakeBody(kLargestBody), 30'000).status ==
          200);
  for (int node = 0; node <= files.targets; ++node) {
    const std::size_t peak = MemoryOf(files.cluster.Node(node)).peak;
    INFO("node " << node << ": " << peak / kMebibyte << " MiB");
    CHECK(peak > kLargestBody);
    CHECK(peak < kHostMemory);
  }
}

// Guards against uploads that a node which stops passes on so late that their
// runs are cut, although nothing had to run: their callers could have gone to
// another node.
TEST_CASE("an upload that ends late in a stop is refused") {
  Files files(19840, "upload-stop");
  REQUIRE(files.Upload("warm", "short").status == 200);
  files.cluster.Instance(kFirstTarget).SetWork(4500);
  RawCaller uploader(files.cluster.CallerPort(kFront));
  RawCaller asking(files.cluster.CallerPort(kFront));
  const std::string body = MakeBody(kMebibyte);
  const std::string framing = "Content-Length: " + std::to_string(body.size());
  REQUIRE(uploader.Write(RawCaller::Head("late", framing) + body.substr(9)));
  const std::string question =
      RawCaller::Head("asking", framing + "\r\nExpect: 100-continue");
  REQUIRE(asking.Write(question.substr(0, question.size() - 2)));
  // Keeps the node from ending early.
  std::thread runner(
      [&]() { CHECK(files.Upload("runs", "short").status == 200); });
  REQUIRE(Soon([&]() { return files.RunsOf("runs") == 1; }));
  files.cluster.Node(kFront).Signal(SIGTERM);
  std::this_thread::sleep_for(milliseconds(3200));
  uploader.Write(body.substr(body.size() - 9));
  asking.Write("\r\n");
  CHECK(uploader.ReadStatus() == 503);
  CHECK(asking.ReadStatus() == 503);
  runner.join();
  CHECK(files.cluster.Node(kFront).Wait() == 0);
  CHECK(files.RunsOf("late") == 0);
  CHECK(files.RunsOf("asking") == 0);
}

// Guards against an upload that is cut without an answer by a stop that has
// nothing else to wait for.
TEST_CASE("an upload that is under way when the node stops is refused") {
  Files files(19880, "upload-cut");
  REQUIRE(files.Upload("warm", "short").status == 200);
  RawCaller uploader(files.cluster.CallerPort(kFront));
  const std::string body = MakeBody(kMebibyte);
  const std::string framing = "Content-Length: " + std::to_string(body.size());
  REQUIRE(uploader.Write(RawCaller::Head("half", framing) +
                         body.substr(body.size() / 2)));
  files.cluster.Node(kFront).Signal(SIGTERM);
  CHECK(uploader.ReadStatus() == 503);
  CHECK(files.cluster.Node(kFront).Wait() == 0);
  CHECK(files.RunsOf("half") == 0);
}

}  // namespace
}  // namespace almondlink::test
