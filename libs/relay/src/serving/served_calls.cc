#include "almondlink/relay/served_calls.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "almondlink/base/event_log.h"
#include "served_call.h"

namespace almondlink::relay {

namespace {

/// Share of the drain time in which late calls still reach a draining instance.
/// Entry nodes learn of the drain within milliseconds; the rest allows for
/// timers and a slow host.
constexpr double kDrainShare = 0.6;
/// A sweep that is this late means that the host was suspended or the process
/// got no CPU time.
constexpr Millis kSuspensionGap{500};
constexpr double kMicrosPerMilli = 1000;
constexpr std::uint32_t kMisdirected = 421;
constexpr std::uint32_t kServerError = 500;
/// The target's own answer at the deadline: the remaining time was too short,
/// or a service that it calls is slow. Not counted as a failure of the target.
constexpr std::uint32_t kGatewayTimeout = 504;

}  // namespace

ServedCalls::ServedCalls(boost::asio::io_context& loop,
                         const HeaderNames& names_in,
                         Millis drain_in,
                         ServedEvents events_in)
    : names(names_in),
      drain(drain_in),
      events(std::move(events_in)),
      pool(loop, names_in) {}

ServedCalls::~ServedCalls() = default;

void ServedCalls::SetTargetAddress(
    const boost::asio::ip::tcp::endpoint& address) {
  this->pool.SetAddress(address);
}

std::uint32_t ServedCalls::Waiting() const {
  return static_cast<std::uint32_t>(this->queue.size());
}

bool ServedCalls::IsPastDrain(Millis now) const {
  const Millis allowed{static_cast<std::int64_t>(
      static_cast<double>(this->drain.count) * kDrainShare)};
  return control::HasDrained(now, allowed, this->tracker);
}

CallReason ServedCalls::ReasonToReject(Millis now, const CallFrame& frame) {
  if (this->tracker.phase == control::InstancePhase::kNone ||
      this->is_target_gone) {
    return CallReason::kNoInstance;
  }
  if (frame.instance != this->tracker.current.incarnation.id) {
    return CallReason::kOtherInstance;
  }
  if (this->IsPastDrain(now)) {
    return CallReason::kDraining;
  }
  const bool is_beyond_limit =
      this->limit.per_s.has_value() &&
      (!this->queue.empty() || !control::MaySend(now, this->limit));
  if (frame.may_move && is_beyond_limit) {
    return CallReason::kRateLimited;
  }
  return CallReason::kNone;
}

void ServedCalls::OnCall(LinkId link,
                         const CallFrame& frame,
                         Millis transit_delay) {
  const Millis now = BootTimeNow();
  ++this->counters.calls;
  const CallPointer call = std::make_shared<Call>();
  call->link = link;
  call->id = frame.id;
  call->request_id.assign(frame.request_id);
  call->arrived = now;
  call->info.deadline = now + Millis{frame.remaining_ms} - transit_delay;
  call->info.root_route = frame.root_route;
  call->info.root_hash = frame.root_hash;
  call->info.priority = frame.priority;
  call->info.depth = frame.depth;
  call->info.is_repeat = frame.is_repeat;
  call->is_repeatable = frame.is_repeatable;
  call->may_move = frame.may_move;
  call->wait_until = std::min(call->info.deadline - kMinRemaining,
                              now + Millis{frame.wait_ms});
  CallReason rejection = this->ReasonToReject(now, frame);
  if (rejection == CallReason::kNone &&
      call->info.deadline <= now + kMinRemaining) {
    rejection = CallReason::kDeadline;
  }
  if (rejection != CallReason::kNone) {
    this->Reject(call, rejection);
    return;
  }
  control::RecordDemand(frame.root_route, this->meter);
  call->service = this->tracker.current.service;
  call->method.assign(frame.method);
  call->request_head.reserve(frame.target.size() + frame.fields.size() + 200);
  call->request_head.append(frame.method).append(" ").append(frame.target);
  call->request_head.append(" HTTP/1.1\r\n").append(frame.fields);
  call->caller_service.assign(frame.caller_service);
  call->body.assign(frame.body);
  call->kind = {frame.route, frame.root_route};
  this->calls.emplace(CallKey{link, frame.id}, call);
  this->Enqueue(now, call);
  this->FillSlots(now);
  this->CountWait(call);
  this->RejectOverflow();
  this->RejectHopeless(now);
}

void ServedCalls::FillSlots(Millis now) {
  this->RejectExpired(now);
  const std::uint32_t slots = control::UsableSlots(this->tracker);
  while (!this->queue.empty() && this->running < slots) {
    const CallPointer call = this->queue.begin()->second;
    if (this->IsPastDrain(now)) {
      this->Reject(call, CallReason::kDraining);
      continue;
    }
    if (this->is_target_gone) {
      this->Reject(call, CallReason::kNoInstance);
      continue;
    }
    if (call->service != this->tracker.current.service) {
      this->Reject(call, CallReason::kOtherInstance);
      continue;
    }
    if (!this->CanStillStart(now, *call)) {
      this->RejectLate(now, call);
      continue;
    }
    if (!control::MaySend(now, this->limit)) {
      return;
    }
    this->Dequeue(call);
    this->CountOvertaking(*call);
    this->Dispatch(now, call);
  }
}

void ServedCalls::Dispatch(Millis now, const CallPointer& call) {
  call->is_running = true;
  ++this->running;
  ++this->started_runs.events;
  call->dispatched = PreciseNow();
  this->BeginMeasure(*call);
  call->sent_at = now;
  call->sent_to = this->tracker.current.incarnation;
  ++this->counters.sent;
  control::CountSend(this->limit);
  this->CountSentUnderLimit(call->link);
  this->runs[call->request_id] = call;
  TargetRequest request = this->MakeRequest(*call, call->info.deadline - now);
  TargetEvents target_events;
  const std::weak_ptr<Call> weak = call;
  target_events.on_answer = [this, weak](const AnswerHead& head,
                                         const std::string& body,
                                         bool has_more) {
    if (const CallPointer open = weak.lock()) {
      this->OnAnswer(open, head, body, has_more);
    }
  };
  target_events.on_part = [this, weak](const std::string& part, bool is_last,
                                       bool is_broken) {
    if (const CallPointer open = weak.lock()) {
      this->OnPart(open, part, is_last, is_broken);
    }
  };
  target_events.may_send = [this, sent_to = call->sent_to]() {
    return sent_to == this->tracker.current.incarnation &&
           !this->IsPastDrain(BootTimeNow());
  };
  target_events.on_failed = [this, weak](CallReason reason, bool was_sent) {
    const CallPointer open = weak.lock();
    if (open == nullptr) {
      return;
    }
    if (was_sent && reason == CallReason::kClosed) {
      this->OnConnectionLost(open);
      return;
    }
    if (reason == CallReason::kConnectFailed && !this->is_target_gone) {
      this->StartCrashCheck();
    }
    this->EndRun(open);
    this->SendOutcome(
        open, was_sent ? CallOutcome::kBroken : CallOutcome::kNotSent, reason);
    this->FillSlots(BootTimeNow());
  };
  call->exchange =
      this->pool.Send(now, std::move(request), std::move(target_events));
}

/// Builds the request to the target. Moves the head and body out of `call`.
TargetRequest ServedCalls::MakeRequest(Call& call, Millis left) const {
  TargetRequest request;
  request.id = call.request_id;
  request.is_head_method = call.method == "HEAD";
  request.is_repeatable = call.is_repeatable;
  request.time_left = left;
  request.bytes = std::move(call.request_head);
  std::string& bytes = request.bytes;
  const auto put = [&bytes](const std::string& name, const std::string& value) {
    bytes.append(name).append(": ").append(value).append("\r\n");
  };
  put(this->names.time_left, std::to_string(left.count));
  put(this->names.target_instance, call.sent_to.id);
  put(this->names.caller_service, call.caller_service);
  const bool has_body =
      !call.body.empty() || (call.method != "GET" && call.method != "HEAD");
  if (has_body) {
    put("Content-Length", std::to_string(call.body.size()));
  }
  bytes.append("\r\n");
  request.body = std::exchange(call.body, std::string());
  return request;
}

void ServedCalls::OnAnswer(const CallPointer& call,
                           const AnswerHead& head,
                           const std::string& body,
                           bool has_more) {
  const LatencyMs work{PreciseNow().count - call->dispatched.count};
  this->ApplyNotices(*call, head);
  AnswerFrame answer;
  answer.id = call->id;
  const bool has_not_run = head.is_not_run || head.status == kMisdirected;
  answer.outcome =
      has_not_run ? CallOutcome::kRefusedByTarget : CallOutcome::kAnswered;
  answer.has_more = has_more;
  answer.status = static_cast<std::uint16_t>(head.status);
  answer.status_text = head.reason;
  answer.fields = head.fields;
  answer.body = body;
  answer.work_us = static_cast<std::uint32_t>(work.count * kMicrosPerMilli);
  if (has_not_run) {
    this->RecordRefusal(*call, head);
    control::RemoveRefusedDemand(call->info.root_route, this->meter);
  } else {
    ++this->counters.answered;
    const bool is_error =
        head.status >= kServerError && head.status != kGatewayTimeout;
    control::UpdateErrorRate(BootTimeNow(), is_error, this->errors);
    if (!is_error) {
      // The time to an error says nothing about the duration of the work.
      this->RecordWorkTime(*call, work);
      this->MeasureCompleted(*call, work);
    }
    answer.run_counts = call->run_counts;
    control::AddRuns({ServiceKeyOf(call->service), 1}, answer.run_counts);
  }
  call->is_answering = has_more;
  if (!has_more) {
    this->EndRun(call);
  }
  if (!call->is_abandoned) {
    this->SetLoad(answer);
    this->events.on_answer(call->link, answer);
  }
  if (!has_more) {
    this->FillSlots(BootTimeNow());
  }
}

/// Counts a refusal by the target. One that names no request and came on a
/// connection that had carried others is logged, because it may belong to an
/// earlier exchange.
void ServedCalls::RecordRefusal(const Call& call, const AnswerHead& head) {
  ++this->counters.refused_by_target;
  if (!head.id.empty()) {
    return;
  }
  const std::size_t carried = TargetPool::CarriedBefore(call.exchange);
  if (carried == 0) {
    ++this->counters.refused_unnamed_first;
    return;
  }
  ++this->counters.refused_unnamed_later;
  if (WouldLog(kEventRefusalUnnamed)) {
    LogEvent(kEventRefusalUnnamed,
             {{"request", call.request_id},
              {"instance", call.sent_to.id},
              {"status", std::to_string(head.status)},
              {"carried", std::to_string(carried)},
              {"repeatable", call.is_repeatable ? "yes" : "no"}});
  }
}

void ServedCalls::OnPart(const CallPointer& call,
                         const std::string& part,
                         bool is_last,
                         bool is_broken) {
  if (is_broken) {
    this->OnConnectionLost(call);
    return;
  }
  DataFrame frame;
  frame.id = call->id;
  frame.is_last = is_last;
  frame.body = part;
  if (is_last) {
    this->EndRun(call);
  }
  if (!call->is_abandoned) {
    this->events.on_part(call->link, frame);
  }
  if (is_last) {
    this->FillSlots(BootTimeNow());
  }
}

/// Removes a running or queued call.
void ServedCalls::EndRun(const CallPointer& call) {
  this->Dequeue(call);
  this->calls.erase(CallKey{call->link, call->id});
  if (call->is_running) {
    this->MeasureCut(*call);
    call->is_running = false;
    --this->running;
  }
  const auto run = this->runs.find(call->request_id);
  if (run != this->runs.end() && run->second == call) {
    this->runs.erase(run);
  }
}

void ServedCalls::Reject(const CallPointer& call, CallReason reason) {
  this->EndRun(call);
  this->SendOutcome(call, CallOutcome::kNotSent, reason);
}

/// Adds the target's current load to an answer.
void ServedCalls::SetLoad(AnswerFrame& answer) {
  answer.running = this->Running();
  answer.waiting = this->Waiting();
  answer.error_rate = this->ErrorRate();
  answer.target_work_ms = control::MeanWorkMs(this->Meter());
  answer.target_calls_per_run = this->CallsPerRun();
  answer.speed = this->Speed(BootTimeNow());
  if (this->limit.per_s.has_value()) {
    answer.limit_per_s = this->limit.per_s;
    const Millis wait =
        control::ReserveSend(BootTimeNow(), this->Waiting(), this->limit);
    answer.limit_wait_ms = static_cast<std::uint32_t>(wait.count);
  }
}

void ServedCalls::SendOutcome(const CallPointer& call,
                              CallOutcome outcome,
                              CallReason reason) {
  const bool was_sent = outcome == CallOutcome::kBroken;
  ++(was_sent ? this->counters.broken : this->counters.not_sent);
  this->counters.rate_limited += reason == CallReason::kRateLimited ? 1 : 0;
  this->events.on_failed(call->request_id, reason, was_sent,
                         BootTimeNow() - call->arrived);
  if (call->is_abandoned && reason != CallReason::kTargetCrashed) {
    return;
  }
  AnswerFrame answer;
  answer.id = call->id;
  answer.outcome = outcome;
  answer.reason = reason;
  if (was_sent) {
    const double ran_ms = PreciseNow().count - call->dispatched.count;
    answer.work_us = static_cast<std::uint32_t>(ran_ms * kMicrosPerMilli);
  }
  this->SetLoad(answer);
  this->events.on_answer(call->link, answer);
}

void ServedCalls::OnCancel(LinkId link, std::uint32_t id) {
  const auto found = this->calls.find(CallKey{link, id});
  if (found == this->calls.end()) {
    return;
  }
  const CallPointer call = found->second;
  ++this->counters.cancelled;
  if (call->is_running && !call->is_repeatable) {
    // A request that must not run twice is allowed to finish; aborting it could
    // leave its work incomplete.
    call->is_abandoned = true;
    return;
  }
  if (call->is_running) {
    this->RecordCancelled(BootTimeNow(), call);
  }
  TargetPool::Cancel(call->exchange);
  this->EndRun(call);
  this->FillSlots(BootTimeNow());
}

void ServedCalls::OnWindow(LinkId link, std::uint32_t id, std::uint32_t bytes) {
  const auto found = this->calls.find(CallKey{link, id});
  if (found != this->calls.end()) {
    TargetPool::OnConsumed(found->second->exchange, bytes);
  }
}

void ServedCalls::OnLinkClosed(LinkId link) {
  std::vector<std::uint32_t> lost;
  for (auto entry = this->calls.lower_bound(CallKey{link, 0});
       entry != this->calls.end() && entry->first.first == link; ++entry) {
    lost.push_back(entry->first.second);
  }
  for (const std::uint32_t id : lost) {
    this->OnCancel(link, id);
  }
}

/// Records the duration of a call, unless the host was suspended while it ran.
void ServedCalls::RecordWorkTime(const Call& call, LatencyMs work) {
  if (!call.spans_suspension) {
    const Millis now = BootTimeNow();
    control::RecordWork(call.info.root_route, now, work, this->meter);
    if (now > call.info.deadline) {
      control::RecordCutRun(now, call.kind, work, this->run_estimates);
    } else {
      control::RecordRun(now, call.kind, work, this->run_estimates);
    }
  }
}

double ServedCalls::CallsPerRun() const {
  constexpr double kMinRunsPerSecond = 0.5;
  return this->started_runs.per_s < kMinRunsPerSecond
             ? 0
             : this->calls_of_runs.per_s / this->started_runs.per_s;
}

void ServedCalls::AddRunCounts(const std::string& request_id,
                               const control::CallCounts& ran) {
  const auto found = this->runs.find(request_id);
  if (found != this->runs.end()) {
    control::AddCounts(ran, found->second->run_counts);
  }
}

std::uint32_t ServedCalls::CountRunsAt(const std::string& request_id,
                                       const std::string& service) const {
  const auto found = this->runs.find(request_id);
  return found == this->runs.end() ? 0
                                   : control::RunsAt(ServiceKeyOf(service),
                                                     found->second->run_counts);
}

double ServedCalls::ErrorRate() const {
  return control::CurrentErrorRate(BootTimeNow(), this->errors);
}

std::optional<RunInfo> ServedCalls::FindRun(
    const std::string& request_id) const {
  const auto found = this->runs.find(request_id);
  if (found == this->runs.end()) {
    return std::nullopt;
  }
  return found->second->info;
}

void ServedCalls::Sweep(Millis now) {
  if (now - this->last_sweep > kSuspensionGap) {
    for (const auto& [id, call] : this->runs) {
      call->spans_suspension = true;
    }
  }
  this->last_sweep = now;
  std::vector<CallPointer> late;
  for (const auto& [key, call] : this->queue) {
    if (now >= call->wait_until || !this->CanStillStart(now, *call) ||
        this->IsPastDrain(now)) {
      late.push_back(call);
    }
  }
  for (const CallPointer& call : late) {
    this->RejectLate(now, call);
  }
  late.clear();
  for (const auto& [id, call] : this->runs) {
    if (now > call->info.deadline) {
      late.push_back(call);
    }
  }
  for (const CallPointer& call : late) {
    if (call->is_answering) {
      TargetPool::Cancel(call->exchange);
      this->EndRun(call);
      this->EndPartialAnswer(call, false);
      continue;
    }
    const LatencyMs work{PreciseNow().count - call->dispatched.count};
    this->RecordWorkTime(*call, work);
    TargetPool::Cancel(call->exchange);
    this->EndRun(call);
    this->SendOutcome(call, CallOutcome::kBroken, CallReason::kTimeout);
  }
  this->pool.Sweep(now);
  this->UpdateCapacity(now);
  this->FillSlots(now);
  this->ReportLimitUsage(now);
  if (now - this->meter.window_start >= Millis{100}) {
    const double span =
        static_cast<double>((now - this->meter.window_start).count);
    control::UpdateRate(span, control::kCallRatioTimeConstantMs,
                        this->calls_of_runs);
    control::UpdateRate(span, control::kCallRatioTimeConstantMs,
                        this->started_runs);
    control::UpdateDemand(now, this->meter);
    control::ExpireRuns(now, this->run_estimates);
  }
}

}  // namespace almondlink::relay
