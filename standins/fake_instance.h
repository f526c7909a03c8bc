#ifndef ALMONDLINK_STANDINS_FAKE_INSTANCE_H_
#define ALMONDLINK_STANDINS_FAKE_INSTANCE_H_

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "standins/fake_server.h"

namespace almondlink::standins {

/// What an instance does to a request besides running it.
enum class InstanceFault {
  kNone,
  /// Answers that it did not run it.
  kShed,
  /// Says so twice, the second time after a pause.
  kShedTwice,
  /// Runs it and resets the connection.
  kLoseAnswer,
  /// Runs it and ends the answer before its length.
  kCutBody,
  /// Runs it and sends a second answer after the first.
  kAnswerTwice,
  /// Answers without a length, by closing.
  kUnframed,
  /// Never answers, nor anything else on that connection.
  kHang,
  /// Answers a success without its own mark.
  kNoSeal,
  /// Answers a success before it has read the body, which it reads later.
  kAnswerBeforeBody,
  /// Answers before it has read the body that it will not run the request.
  kShedBeforeBody,
  /// Sends half of a success without a length before it has read the body, and
  /// resets the connection, or reads the body late and sends the rest.
  kResetEarlyAnswer,
  kSlowEarlyAnswer,
  /// Runs it and sends bytes without end that are no answer: interim answers,
  /// the body of an answer to another request, the extension of a chunk.
  kEndlessInterim,
  kEndlessOther,
  kEndlessExtension,
  /// Runs it and sends an answer of its own without end: a success in chunks, a
  /// success with a length that it will not reach, a failure in chunks.
  kEndlessChunks,
  kEndlessLength,
  kEndlessFailure,
  /// Ends halfway through the body, and is back under another id.
  kEndInBody,
  /// Answers with the id that it did not run it, a second time after a pause.
  kShedNamedTwice,
  /// Runs it and answers with the status of SetOddStatus(), and with a success
  /// right behind.
  kOddStatus,
  /// Runs it, sends the first half of the answer and then nothing, on an open
  /// connection.
  kSilentMidway,
};

/// Whether a request ends the instance that runs it.
using IsDeadly = std::function<bool(const FakeRequest& request)>;

/// One request as the instance saw it.
struct SeenRequest {
  std::string id;
  /// The start of the instance that ran it.
  std::string instance;
  std::string method;
  std::string target;
  std::string caller_service;
  /// The client account that it was told, and the caller's credentials, which
  /// it must never see where the policy has accounts.
  std::string account;
  std::string credentials;
  std::string body;
  std::int64_t left_ms = 0;
  std::chrono::steady_clock::time_point at;
  /// The caller closed the connection before the work was done.
  bool was_dropped = false;
};

/// A stand-in for an application instance of the platform: runs requests,
/// makes calls, and reports itself to the node beside it. It passes its health
/// check at /health until it announces that it leaves. Thread safe.
class FakeInstance {
 public:
  struct Spec {
    std::string id;
    std::string service;
    std::string zone = "zone-a";
    int port = 0;
    /// Ports of the node beside it.
    int report_port = 0;
    int caller_port = 0;
    int capacity = 16;
    int work_ms = 1;
    int body_size = 20;
    /// Wall-clock time of its start in milliseconds; 0: it does not tell.
    std::uint64_t born = 0;
    /// Host and path of the calls that each request makes, in order.
    std::vector<std::pair<std::string, std::string>> calls;
    /// The instance ends so long after it began to run such a request, with all
    /// that it runs, and is back under another id.
    IsDeadly is_deadly;
    int ends_after_ms = 20;
    int back_after_ms = 300;
    /// Bytes of its answer that the caller of a deadly request gets before.
    int deadly_body = 0;
  };

  explicit FakeInstance(Spec spec);
  ~FakeInstance();
  FakeInstance(const FakeInstance&) = delete;
  FakeInstance& operator=(const FakeInstance&) = delete;

  void SetFault(InstanceFault fault) { this->fault = fault; }
  void SetWork(int milliseconds) { this->work_ms = milliseconds; }
  /// Text of the rate limit in all its answers; empty: it names none.
  void SetRateLimit(const std::string& text);
  /// Text of the status with the fault kOddStatus.
  void SetOddStatus(const std::string& text);
  /// Bytes that belong to no request: sent when a request has been read on a
  /// connection that has carried another one, before it runs. Empty: none.
  void SetStrayBytes(const std::string& bytes);
  /// Whether all its answers state that it is leaving.
  void SetSaysLeaving(bool says_leaving_in) {
    this->says_leaving = says_leaving_in;
  }
  /// Reports go on as ready, draining, or stop.
  void SetReports(bool are_on) { this->reports = are_on; }
  /// Sends one report now; the status of the answer, 0 if there was none.
  unsigned Report(const std::string& state, std::uint64_t sequence);
  /// Sends any bytes as a report, or as a leave.
  unsigned ReportBytes(const std::string& call, const std::string& body);
  unsigned Leave();
  /// Another instance runs at its address from now on. Requests that it has not
  /// answered are never answered, and their connections stay open.
  void Become(const std::string& other_id,
              const std::string& other_service,
              int other_capacity);

  std::vector<SeenRequest> Seen();
  /// Times that requests with this id ran.
  int RunsOf(const std::string& id);
  int MostAtOnce() const { return this->most_at_once; }
  /// Times that it ended by itself.
  int Ends() const { return this->ends; }

 private:
  Reaction ReactToHealthCheck();
  Reaction React(const FakeRequest& request, const IsGone& is_gone);
  std::optional<BodyReaction> ReactToHead(const FakeHead& head);
  bool MakeCalls(const FakeRequest& request);
  void Live();
  void Serve();
  void EndAndComeBack();
  std::string Id();
  std::string Service();
  std::string Notices();

  Spec spec;
  std::atomic<InstanceFault> fault{InstanceFault::kNone};
  std::atomic<int> work_ms;
  std::atomic<int> capacity;
  std::atomic<bool> reports{true};
  std::atomic<bool> says_leaving{false};
  /// It has announced that it leaves, by a report or a call.
  std::atomic<bool> is_leaving{false};
  std::atomic<bool> is_stopped{false};
  /// When it ends, on the steady clock; 0: not.
  std::atomic<std::int64_t> end_at{0};
  std::atomic<int> ends{0};
  std::atomic<int> at_once{0};
  std::atomic<int> most_at_once{0};
  std::atomic<std::uint64_t> sequence{0};
  std::mutex mutex;
  std::vector<SeenRequest> seen;
  std::unique_ptr<FakeServer> server;
  std::string id;
  std::string service;
  std::string rate_limit;
  std::string stray_bytes;
  std::string odd_status;
  std::thread life;
};

}  // namespace almondlink::standins

#endif  // ALMONDLINK_STANDINS_FAKE_INSTANCE_H_
