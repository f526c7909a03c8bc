#include "standins/fake_instance.h"

#include <chrono>
#include <nlohmann/json.hpp>
#include <utility>

#include "standins/blocking_http.h"

namespace almondlink::standins {

namespace {

constexpr std::chrono::milliseconds kReportEvery{150};
constexpr std::chrono::milliseconds kLook{5};
constexpr std::chrono::milliseconds kReportTimeout{1000};
constexpr std::chrono::milliseconds kSecondRefusal{20};
/// Pause of an instance that answered early, before it reads the body.
constexpr std::chrono::milliseconds kReadsOnAfter{500};
/// Pause of one that answered a part before it resets, or reads the body.
constexpr std::chrono::milliseconds kResetsAfter{100};
constexpr std::chrono::milliseconds kReadsLateAfter{1800};

constexpr const char* kHealthPath = "/health";

/// Size of the piece that is sent again and again, 4000 in hexadecimal.
constexpr std::size_t kEndlessPiece = 0x4000;

std::int64_t SteadyMillis() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

config::Endpoint Loopback(int port) {
  return {"127.0.0.1", static_cast<std::uint16_t>(port)};
}

std::string Field(const FakeRequest& request, const char* name) {
  return std::string(request[name]);
}

}  // namespace

FakeInstance::FakeInstance(Spec spec_in)
    : spec(std::move(spec_in)),
      work_ms(spec.work_ms),
      capacity(spec.capacity),
      id(spec.id),
      service(spec.service) {
  this->Serve();
  this->life = std::thread([this]() { this->Live(); });
}

void FakeInstance::Serve() {
  this->server = std::make_unique<FakeServer>(
      this->spec.port,
      [this](const FakeRequest& request, const IsGone& is_gone) {
        return this->React(request, is_gone);
      },
      [this](const FakeHead& head) { return this->ReactToHead(head); },
      [this]() {
        const std::lock_guard<std::mutex> lock(this->mutex);
        return this->stray_bytes;
      });
}

std::string FakeInstance::Id() {
  const std::lock_guard<std::mutex> lock(this->mutex);
  return this->id;
}

std::string FakeInstance::Service() {
  const std::lock_guard<std::mutex> lock(this->mutex);
  return this->service;
}

void FakeInstance::Become(const std::string& other_id,
                          const std::string& other_service,
                          int other_capacity) {
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->id = other_id;
    this->service = other_service;
  }
  this->capacity = other_capacity;
  this->fault = InstanceFault::kNone;
  this->is_leaving = false;
  this->sequence = 0;
  this->reports = true;
}

FakeInstance::~FakeInstance() {
  this->is_stopped = true;
  this->life.join();
  this->server.reset();
}

void FakeInstance::Live() {
  std::chrono::steady_clock::time_point reported;
  while (!this->is_stopped) {
    if (this->end_at != 0 && SteadyMillis() >= this->end_at) {
      this->EndAndComeBack();
      reported = {};
    }
    const auto now = std::chrono::steady_clock::now();
    if (this->reports && now - reported >= kReportEvery) {
      this->Report("ready", ++this->sequence);
      reported = now;
    }
    std::this_thread::sleep_for(kLook);
  }
}

/// As a process that crashes: all connections close, nobody listens, nothing
/// is reported.
void FakeInstance::EndAndComeBack() {
  this->server.reset();
  const int number = ++this->ends;
  const auto until = std::chrono::steady_clock::now() +
                     std::chrono::milliseconds(this->spec.back_after_ms);
  while (!this->is_stopped && std::chrono::steady_clock::now() < until) {
    std::this_thread::sleep_for(kLook);
  }
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->id = this->spec.id + "-" + std::to_string(number);
  }
  this->sequence = 0;
  this->is_leaving = false;
  this->end_at = 0;
  this->Serve();
}

unsigned FakeInstance::Report(const std::string& state, std::uint64_t number) {
  this->is_leaving = this->is_leaving || state == "draining";
  nlohmann::json body = {
      {"service", this->Service()},
      {"address", "127.0.0.1:" + std::to_string(this->spec.port)},
      {"zone", this->spec.zone},
      {"version", "v1"},
      {"capacity", this->capacity.load()},
      {"state", state},
      {"coldLeftMs", 0},
      {"sequence", number}};
  if (this->spec.born != 0) {
    body["born"] = this->spec.born;
  }
  return this->ReportBytes("heartbeat", body.dump());
}

unsigned FakeInstance::ReportBytes(const std::string& call,
                                   const std::string& body) {
  BlockingHttp client(Loopback(this->spec.report_port), kReportTimeout);
  PlainRequest request;
  request.method = "POST";
  request.target = "/instances/" + this->Id() + "/" + call;
  request.headers["Content-Type"] = "application/json";
  request.body = body;
  return client.Send(request).status;
}

unsigned FakeInstance::Leave() {
  this->is_leaving = true;
  const nlohmann::json body = {{"born", this->spec.born}};
  return this->ReportBytes("leave",
                           this->spec.born == 0 ? std::string() : body.dump());
}

/// Calls of a request are made one after the other; the ids continue its id.
bool FakeInstance::MakeCalls(const FakeRequest& request) {
  int number = 0;
  for (const auto& [host, path] : this->spec.calls) {
    BlockingHttp client(Loopback(this->spec.caller_port),
                        std::chrono::seconds(10));
    PlainRequest call;
    call.target = path;
    call.headers["Host"] = host;
    call.headers["Request-Id"] =
        Field(request, "Request-Id") + "." + std::to_string(++number);
    call.headers["Deadline-Ms"] = Field(request, "Deadline-Ms");
    if (client.Send(call).status != 200) {
      return false;
    }
  }
  return true;
}

void FakeInstance::SetRateLimit(const std::string& text) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  this->rate_limit = text;
}

void FakeInstance::SetOddStatus(const std::string& text) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  this->odd_status = text;
}

void FakeInstance::SetStrayBytes(const std::string& bytes) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  this->stray_bytes = bytes;
}

/// Fields that stand in all its answers.
std::string FakeInstance::Notices() {
  const std::lock_guard<std::mutex> lock(this->mutex);
  std::string fields;
  if (!this->rate_limit.empty()) {
    fields += "Server-Limit: " + this->rate_limit + "\r\n";
  }
  if (this->says_leaving) {
    fields += "Server-Leaving: 1\r\n";
  }
  return fields;
}

/// Faults that occur before the body of a request has been read. Each such
/// request is recorded as seen, with an empty body.
std::optional<BodyReaction> FakeInstance::ReactToHead(const FakeHead& head) {
  const InstanceFault now = this->fault;
  const std::string own = this->Id();
  const bool is_early = now == InstanceFault::kAnswerBeforeBody ||
                        now == InstanceFault::kShedBeforeBody ||
                        now == InstanceFault::kResetEarlyAnswer ||
                        now == InstanceFault::kSlowEarlyAnswer ||
                        now == InstanceFault::kEndInBody;
  if (!is_early || std::string(head["Target-Instance"]) != own) {
    return std::nullopt;
  }
  SeenRequest run;
  run.id = std::string(head["Request-Id"]);
  run.instance = own;
  run.method = std::string(head.method_string());
  run.target = std::string(head.target());
  run.at = std::chrono::steady_clock::now();
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->seen.push_back(run);
  }
  const std::string echo = "Request-Id: " + run.id + "\r\n";
  const std::string mark = "Response-Seal: " + own + "\r\n";
  const std::string half(static_cast<std::size_t>(this->spec.body_size) / 2,
                         'b');
  BodyReaction reaction;
  reaction.pause = kReadsOnAfter;
  switch (now) {
    case InstanceFault::kAnswerBeforeBody:
      reaction.bytes = MakeAnswer(200, echo + mark + this->Notices(), "early");
      break;
    case InstanceFault::kShedBeforeBody:
      reaction.bytes = MakeAnswer(
          503, "Not-Executed: 1\r\n" + echo + this->Notices(), "full");
      break;
    case InstanceFault::kResetEarlyAnswer:
    case InstanceFault::kSlowEarlyAnswer:
      reaction.bytes = "HTTP/1.1 200 OK\r\n" + echo + mark + this->Notices() +
                       "Connection: close\r\n\r\n" + half;
      reaction.resets = now == InstanceFault::kResetEarlyAnswer;
      reaction.pause = reaction.resets ? kResetsAfter : kReadsLateAfter;
      reaction.last_bytes = half;
      break;
    default:
      reaction.after =
          std::strtoull(std::string(head["Content-Length"]).c_str(), nullptr,
                        10) /
          2;
      reaction.stops = true;
      reaction.on_stop = [this]() { this->end_at = SteadyMillis(); };
      break;
  }
  return reaction;
}

Reaction FakeInstance::ReactToHealthCheck() {
  const bool is_healthy = !this->is_leaving && !this->says_leaving;
  Reaction reaction;
  reaction.bytes = MakeAnswer(is_healthy ? 200 : 503,
                              "Instance-Id: " + this->Id() + "\r\n", "");
  return reaction;
}

Reaction FakeInstance::React(const FakeRequest& request,
                             const IsGone& is_gone) {
  const std::string id = Field(request, "Request-Id");
  const std::string echo = "Request-Id: " + id + "\r\n";
  const std::string own = this->Id();
  const std::string mark = "Response-Seal: " + own + "\r\n";
  if (request.target() == kHealthPath) {
    return this->ReactToHealthCheck();
  }
  Reaction reaction;
  if (Field(request, "Target-Instance") != own) {
    reaction.bytes = MakeAnswer(421, "Instance-Id: " + own + "\r\n", "");
    return reaction;
  }
  const InstanceFault now = this->fault;
  const bool is_named = now == InstanceFault::kShedNamedTwice;
  const bool is_twice = is_named || now == InstanceFault::kShedTwice;
  if (now == InstanceFault::kShed || is_twice) {
    reaction.bytes = MakeAnswer(
        503, (is_named ? echo : "") + "Not-Executed: 1\r\n" + this->Notices(),
        "");
    if (is_twice) {
      reaction.late_bytes = reaction.bytes;
      reaction.pause = kSecondRefusal;
    }
    return reaction;
  }
  SeenRequest run;
  run.id = id;
  run.instance = own;
  run.method = std::string(request.method_string());
  run.target = std::string(request.target());
  run.caller_service = Field(request, "Caller-Service");
  run.account = Field(request, "Tenant");
  run.credentials = Field(request, "Authorization");
  run.body = request.body();
  run.left_ms = std::atoll(Field(request, "Deadline-Ms").c_str());
  run.at = std::chrono::steady_clock::now();
  std::size_t place = 0;
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    place = this->seen.size();
    this->seen.push_back(run);
  }
  const int running = ++this->at_once;
  this->most_at_once = std::max<int>(this->most_at_once, running);
  if (now == InstanceFault::kHang) {
    --this->at_once;
    reaction.hangs = true;
    return reaction;
  }
  const bool is_deadly =
      this->spec.is_deadly != nullptr && this->spec.is_deadly(request);
  const auto until =
      run.at + std::chrono::milliseconds(is_deadly ? this->spec.ends_after_ms
                                                   : this->work_ms.load());
  while (std::chrono::steady_clock::now() < until) {
    if (is_gone()) {
      const std::lock_guard<std::mutex> lock(this->mutex);
      this->seen[place].was_dropped = true;
      break;
    }
    std::this_thread::sleep_for(std::min<std::chrono::nanoseconds>(
        kLook, until - std::chrono::steady_clock::now()));
  }
  if (is_deadly) {
    --this->at_once;
    reaction.hangs = this->spec.deadly_body == 0;
    if (!reaction.hangs) {
      const auto sent = static_cast<std::size_t>(this->spec.deadly_body);
      reaction.bytes = MakeAnswer(200, echo + mark + this->Notices(),
                                  std::string(2 * sent, 'b'));
      reaction.bytes.resize(reaction.bytes.size() - sent);
    }
    // What was written has to go out first.
    this->end_at =
        SteadyMillis() + (reaction.hangs ? 0 : this->spec.ends_after_ms);
    return reaction;
  }
  const bool is_good = this->MakeCalls(request);
  --this->at_once;
  const std::string body(static_cast<std::size_t>(this->spec.body_size), 'b');
  const std::string seal = echo + mark + this->Notices();
  if (!is_good) {
    reaction.bytes = MakeAnswer(500, seal, "a call failed");
    return reaction;
  }
  reaction.bytes = MakeAnswer(200, seal, body);
  switch (now) {
    case InstanceFault::kLoseAnswer:
      reaction.bytes.clear();
      reaction.resets = true;
      break;
    case InstanceFault::kCutBody:
      reaction.bytes.resize(reaction.bytes.size() - 5);
      reaction.closes = true;
      break;
    case InstanceFault::kAnswerTwice:
      reaction.bytes += reaction.bytes;
      break;
    case InstanceFault::kUnframed:
      reaction.bytes =
          "HTTP/1.1 200 OK\r\n" + seal + "Connection: close\r\n\r\n" + body;
      reaction.closes = true;
      break;
    case InstanceFault::kEndlessInterim:
      reaction.bytes.clear();
      reaction.endless_bytes = "HTTP/1.1 102 Processing\r\n\r\n";
      break;
    case InstanceFault::kEndlessOther:
      reaction.bytes = "HTTP/1.1 200 OK\r\nRequest-Id: other\r\n" + mark +
                       "Transfer-Encoding: chunked\r\n\r\n";
      reaction.endless_bytes =
          "4000\r\n" + std::string(kEndlessPiece, 'b') + "\r\n";
      break;
    case InstanceFault::kEndlessExtension:
      reaction.bytes = "HTTP/1.1 200 OK\r\n" + seal +
                       "Transfer-Encoding: chunked\r\n\r\n4;x=";
      reaction.endless_bytes = std::string(kEndlessPiece, 'b');
      break;
    case InstanceFault::kEndlessChunks:
    case InstanceFault::kEndlessFailure:
      reaction.bytes = "HTTP/1.1 ";
      reaction.bytes +=
          now == InstanceFault::kEndlessChunks ? "200 OK" : "500 Fault";
      reaction.bytes += "\r\n" + seal + "Transfer-Encoding: chunked\r\n\r\n";
      reaction.endless_bytes =
          "4000\r\n" + std::string(kEndlessPiece, 'b') + "\r\n";
      break;
    case InstanceFault::kEndlessLength:
      reaction.bytes =
          "HTTP/1.1 200 OK\r\n" + seal + "Content-Length: 99000000000\r\n\r\n";
      reaction.endless_bytes = std::string(kEndlessPiece, 'b');
      break;
    case InstanceFault::kOddStatus: {
      const std::lock_guard<std::mutex> lock(this->mutex);
      reaction.bytes = "HTTP/1.1 " + this->odd_status + " Odd\r\n" + seal +
                       "Content-Length: 3\r\n\r\nodd" + reaction.bytes;
      break;
    }
    case InstanceFault::kNoSeal:
      reaction.bytes = MakeAnswer(200, echo, body);
      break;
    case InstanceFault::kSilentMidway:
      reaction.bytes.resize(reaction.bytes.size() / 2);
      break;
    default:
      break;
  }
  return reaction;
}

std::vector<SeenRequest> FakeInstance::Seen() {
  const std::lock_guard<std::mutex> lock(this->mutex);
  return this->seen;
}

int FakeInstance::RunsOf(const std::string& id) {
  int runs = 0;
  for (const SeenRequest& run : this->Seen()) {
    runs += run.id == id ? 1 : 0;
  }
  return runs;
}

}  // namespace almondlink::standins
