#include "almondlink/relay/peer_frames.h"

#include <catch2/catch.hpp>

namespace almondlink::relay {
namespace {

/// The only frame in `bytes`.
RawFrame Only(const std::string& bytes) {
  bool is_bad = false;
  const std::optional<RawFrame> frame = NextFrame(bytes, is_bad);
  REQUIRE(frame.has_value());
  REQUIRE(frame->size == bytes.size());
  return *frame;
}

TEST_CASE("a call with arbitrary bytes is unchanged by a round trip") {
  CallFrame call;
  call.id = 7;
  call.remaining_ms = 900;
  call.wait_ms = 300;
  call.is_repeat = true;
  call.root_route = 0xfedcba98;
  call.root_hash = 0xfedcba9876543210;
  call.instance = "i-1";
  call.request_id = "a.b.c";
  call.method = "POST";
  call.target = "/x/1?y=2";
  const std::string body("\0\xff\r\n", 4);
  call.body = body;
  std::string bytes;
  Append(call, bytes);
  CallFrame read;
  REQUIRE(Decode(Only(bytes).payload, read));
  REQUIRE(read.id == 7);
  REQUIRE(read.remaining_ms == 900);
  REQUIRE(read.wait_ms == 300);
  REQUIRE(read.is_repeat);
  REQUIRE_FALSE(read.is_repeatable);
  REQUIRE(read.root_route == 0xfedcba98);
  REQUIRE(read.root_hash == 0xfedcba9876543210);
  REQUIRE(read.request_id == "a.b.c");
  REQUIRE(read.body == body);
}

TEST_CASE("state and hello are unchanged by a round trip") {
  StateFrame state;
  state.policy_version = 1ULL << 40;
  state.instance = "i-9";
  state.state = InstanceState::kDraining;
  state.demand = {{5, 120.5, 22.25}};
  state.roots = {{5, 60, 40, {}}, {6, 1, 1, {}}};
  HelloFrame hello;
  hello.self = {"n1", "127.0.0.1:9", 12};
  hello.known_nodes = {{"n2", "127.0.0.1:10", 13}};
  hello.draining_instances = {{"n1", "i-3", 44, InstanceState::kDraining}};
  std::string bytes;
  Append(state, bytes);
  StateFrame state_read;
  REQUIRE(Decode(Only(bytes).payload, state_read));
  REQUIRE(state_read.policy_version == 1ULL << 40);
  REQUIRE(state_read.state == InstanceState::kDraining);
  REQUIRE(state_read.demand[0].calls_per_s == 120.5);
  REQUIRE(state_read.roots[1].route == 6);
  bytes.clear();
  Append(hello, bytes);
  HelloFrame hello_read;
  REQUIRE(Decode(Only(bytes).payload, hello_read));
  REQUIRE(hello_read.known_nodes[0].name == "n2");
  REQUIRE(hello_read.draining_instances[0].sequence == 44);
}

TEST_CASE("a load is unchanged by a round trip and updates only the load") {
  StateFrame state;
  state.policy_version = 9;
  state.instance = "i-9";
  state.state = InstanceState::kReady;
  state.slots = 43;
  state.running = 300;
  state.waiting = 7;
  state.work_ms = 22.25;
  state.calls_per_run = 1.5;
  state.demand = {{0xfedcba98, 12'345.67, 0}};
  state.roots = {{5, 60.01, 40, {}}, {6, 0, 1, {}}};
  std::string bytes;
  Append(LoadOf(state), bytes);
  std::string full_state;
  Append(state, full_state);
  REQUIRE(bytes.size() * 2 < full_state.size());
  LoadFrame read;
  REQUIRE(Decode(Only(bytes).payload, read));
  StateFrame other = state;
  other.running = 0;
  other.demand.clear();
  other.roots.clear();
  REQUIRE(EqualExceptLoad(state, other));
  ApplyLoad(read, other);
  std::string again;
  Append(other, again);
  REQUIRE(again == full_state);
  other.slots = 42;
  REQUIRE_FALSE(EqualExceptLoad(state, other));
  const std::string_view payload = Only(bytes).payload;
  // Older nodes' loads end before the speed, before the error rate, before the
  // call chains or before the list of repeats; each takes one byte here.
  const std::size_t older = payload.size() - 1;
  const std::size_t oldest = payload.size() - 4;
  for (std::size_t size = 0; size < payload.size(); ++size) {
    const bool is_whole = size >= oldest && size <= older;
    REQUIRE(Decode(payload.substr(0, size), read) == is_whole);
  }
}

TEST_CASE("unterminated and out-of-range varints are rejected") {
  // A rate beyond the range of an encoded fraction must be rejected: it would
  // change its value each time it is decoded and encoded.
  LoadFrame read;
  const std::string huge("\x01\x01\xff\xff\xff\xff\xff\xff\xff\x7f\x00\x00\x00",
                         13);
  REQUIRE_FALSE(Decode(huge, read));
  REQUIRE_FALSE(Decode(std::string(40, '\xff'), read));
}

TEST_CASE("a hello of an older node is decoded") {
  HelloFrame hello;
  hello.self = {"n1", "127.0.0.1:9", 12};
  hello.protocol_version = kProtocolVersion;
  hello.draining_instances = {{"n2", "i-1", 3, InstanceState::kDraining, 77}};
  hello.known_incarnation = 99;
  hello.has_earlier_state = true;
  std::string bytes;
  Append(hello, bytes);
  HelloFrame read;
  REQUIRE(Decode(Only(bytes).payload, read));
  REQUIRE(read.has_earlier_state);
  REQUIRE(read.protocol_version == kProtocolVersion);
  REQUIRE(read.known_incarnation == 99);
  REQUIRE(read.draining_instances[0].started_at == 77);
  // Hellos without start times, and without a protocol version.
  std::string_view older = Only(bytes).payload;
  // The previous incarnation, its empty list of repeats, whether that is known,
  // whether the link is shared, whether a limit is known and whether an earlier
  // state is are last.
  older.remove_suffix(1);
  REQUIRE(Decode(older, read));
  REQUIRE_FALSE(read.has_earlier_state);
  older.remove_suffix(1);
  REQUIRE(Decode(older, read));
  REQUIRE_FALSE(read.known_limit_per_s.has_value());
  older.remove_suffix(2);
  REQUIRE(Decode(older, read));
  REQUIRE(read.has_repeat_counts);
  REQUIRE_FALSE(read.shares_link);
  older.remove_suffix(sizeof(hello.previous_incarnation) + 1);
  REQUIRE(Decode(older, read));
  REQUIRE(read.known_incarnation == 99);
  older.remove_suffix(sizeof(hello.known_incarnation) + sizeof(std::uint64_t));
  REQUIRE(Decode(older, read));
  REQUIRE(read.protocol_version == kProtocolVersion);
  REQUIRE(read.known_incarnation == 0);
  REQUIRE(read.draining_instances[0].started_at == 0);
  older.remove_suffix(sizeof(hello.protocol_version));
  REQUIRE(Decode(older, read));
  REQUIRE(read.protocol_version == 0);
}

TEST_CASE("the start time of an instance is unchanged by a round trip") {
  StateFrame state;
  state.instance = "i-1";
  state.started_at = 1ULL << 41;
  std::string bytes;
  Append(state, bytes);
  StateFrame read;
  REQUIRE(Decode(Only(bytes).payload, read));
  REQUIRE(read.started_at == 1ULL << 41);
  REQUIRE(EqualExceptLoad(state, read));
  read.started_at = 5;
  REQUIRE_FALSE(EqualExceptLoad(state, read));
  std::string_view older = Only(bytes).payload;
  // Cuts off the start time, the source flag, and the repeats, call chains,
  // error rate, whether the load is summed, whether the target names a limit
  // and the speed, which take one byte each here.
  older.remove_suffix(sizeof(state.started_at) + 7);
  REQUIRE(Decode(older, read));
  REQUIRE(read.started_at == 0);
  REQUIRE_FALSE(read.has_source);
  bytes.clear();
  AppendStateConfirmed({7, 9}, bytes);
  ReportId number;
  REQUIRE(DecodeStateConfirmed(Only(bytes).payload, number));
  REQUIRE(number.started_at == 7);
  REQUIRE(number.sequence == 9);
  REQUIRE(DecodeStateConfirmed(Only(bytes).payload.substr(0, 8), number));
  REQUIRE(number.started_at == 0);
  REQUIRE(number.sequence == 9);
}

TEST_CASE("leaves are unchanged by a round trip") {
  LeavesFrame leaves;
  leaves.revision = 300;
  leaves.instances = {{"i-1", 1ULL << 41}, {"i-2", 0}};
  std::string bytes;
  Append(leaves, bytes);
  LeavesFrame read;
  REQUIRE(Decode(Only(bytes).payload, read));
  REQUIRE(read.revision == 300);
  REQUIRE(read.instances == leaves.instances);
  for (std::size_t size = 0; size < Only(bytes).payload.size(); ++size) {
    REQUIRE_FALSE(Decode(Only(bytes).payload.substr(0, size), read));
  }
  bytes.clear();
  AppendLeavesConfirmed(300, bytes);
  std::uint64_t revision = 0;
  REQUIRE(DecodeLeavesConfirmed(Only(bytes).payload, revision));
  REQUIRE(revision == 300);
}

TEST_CASE("the run counts of a call are unchanged by a round trip") {
  AnswerFrame answer;
  answer.id = 3;
  answer.body = "body";
  control::AddRuns({77, 4}, answer.run_counts);
  control::AddRuns({78, 1}, answer.run_counts);
  std::string bytes;
  Append(answer, bytes);
  AnswerFrame read;
  REQUIRE(Decode(Only(bytes).payload, read));
  REQUIRE(read.body == "body");
  REQUIRE(read.run_counts.size == 2);
  REQUIRE(read.run_counts.entries[0].service == 77);
  REQUIRE(read.run_counts.entries[0].runs == 4);
  // Older nodes send none.
  bytes.clear();
  answer.run_counts = control::CallCounts();
  Append(answer, bytes);
  REQUIRE(Decode(Only(bytes).payload.substr(0, Only(bytes).payload.size() - 1),
                 read));
  REQUIRE(read.run_counts.size == 0);
}

TEST_CASE("call chains are kept until a load contains them again") {
  StateFrame state;
  state.roots = {{5, 60, 40, {{77, 8}, {78, 2.5}}}, {6, 1, 1, {}}};
  std::string bytes;
  Append(state, bytes);
  StateFrame read;
  REQUIRE(Decode(Only(bytes).payload, read));
  REQUIRE(read.roots.size() == 2);
  REQUIRE(read.roots[0].calls.size() == 2);
  REQUIRE(read.roots[0].calls[1].per_root == Approx(2.5));
  REQUIRE(read.roots[1].calls.empty());
  LoadFrame load = LoadOf(state);
  load.roots[0].calls.clear();
  load.roots[0].admitted_per_s = 10;
  bytes.clear();
  Append(load, bytes);
  LoadFrame received;
  REQUIRE(Decode(Only(bytes).payload, received));
  ApplyLoad(received, read);
  REQUIRE(read.roots[0].admitted_per_s == Approx(10));
  REQUIRE(read.roots[0].calls.size() == 2);
  state.roots[0].calls = {{77, 4}};
  bytes.clear();
  Append(LoadOf(state), bytes);
  REQUIRE(Decode(Only(bytes).payload, received));
  ApplyLoad(received, read);
  REQUIRE(read.roots[0].calls.size() == 1);
  REQUIRE(read.roots[0].calls[0].per_root == Approx(4));
}

TEST_CASE("policy information is unchanged by a round trip") {
  StateFrame state;
  state.has_source = true;
  std::string bytes;
  Append(state, bytes);
  StateFrame read;
  REQUIRE(Decode(Only(bytes).payload, read));
  REQUIRE(read.has_source);
  // Access to the policy source is not part of the load: other nodes take over
  // when it is lost.
  read.has_source = false;
  REQUIRE_FALSE(EqualExceptLoadAndVersion(state, read));
  read = state;
  read.policy_version = 9;
  REQUIRE(EqualExceptLoadAndVersion(state, read));
  REQUIRE_FALSE(EqualExceptLoad(state, read));
  bytes.clear();
  AppendPolicyVersion(1ULL << 40, bytes);
  std::uint64_t version = 0;
  REQUIRE(Only(bytes).type == FrameType::kPolicyVersion);
  REQUIRE(DecodePolicyVersion(Only(bytes).payload, version));
  REQUIRE(version == 1ULL << 40);
  REQUIRE_FALSE(DecodePolicyVersion(Only(bytes).payload.substr(1), version));
  bytes.clear();
  AppendNodes({{"node-1", "10.0.0.1:7000", 3}, {"node-2", "10.0.0.2:7000", 4}},
              bytes);
  std::vector<NodeAddress> nodes;
  REQUIRE(DecodeNodes(Only(bytes).payload, nodes));
  REQUIRE(nodes.size() == 2);
  REQUIRE(nodes[1].name == "node-2");
  REQUIRE(nodes[1].incarnation == 4);
  REQUIRE_FALSE(DecodeNodes(Only(bytes).payload.substr(0, 20), nodes));
}

TEST_CASE("a truncated payload is rejected without reading beyond its end") {
  CallFrame call;
  call.instance = "i-1";
  call.body = "body";
  std::string bytes;
  Append(call, bytes);
  const std::string_view payload = Only(bytes).payload;
  // Calls of older nodes end before the route, or before the hash of the root
  // request's id.
  const std::size_t older = payload.size() - sizeof(call.route);
  const std::size_t oldest = older - sizeof(call.root_hash);
  for (std::size_t size = 0; size < payload.size(); ++size) {
    CallFrame read;
    REQUIRE(Decode(payload.substr(0, size), read) ==
            (size == older || size == oldest));
    REQUIRE(read.root_hash == 0);
  }
}

TEST_CASE("an incomplete frame is kept, and an invalid length is rejected") {
  std::string bytes;
  AppendCancel(3, bytes);
  bool is_bad = false;
  for (std::size_t size = 0; size < bytes.size(); ++size) {
    REQUIRE_FALSE(NextFrame(bytes.substr(0, size), is_bad).has_value());
    REQUIRE_FALSE(is_bad);
  }
  REQUIRE_FALSE(NextFrame("\xff\xff\xff\xff\x01", is_bad).has_value());
  REQUIRE(is_bad);
}

TEST_CASE("a list with more entries than remaining bytes is rejected") {
  StateFrame state;
  std::string bytes;
  Append(state, bytes);
  std::string payload(Only(bytes).payload);
  // Overwrites the count of the last list, which precedes the start time.
  payload[payload.size() - sizeof(state.started_at) - 1 - 7] = '\x7f';
  StateFrame read;
  REQUIRE_FALSE(Decode(payload, read));
}

TEST_CASE("quota frames and the error rate are unchanged by a round trip") {
  std::string bytes;
  Append(QuotaRequestFrame{0xfedcba98, 300}, bytes);
  QuotaRequestFrame ask;
  REQUIRE(Decode(Only(bytes).payload, ask));
  REQUIRE(ask.account == 0xfedcba98);
  REQUIRE(ask.wanted == 300);
  QuotaLoanFrame loan;
  loan.account = 7;
  loan.is_lender = true;
  loan.loan = {5, Millis{20}, Millis{1900}, true};
  bytes.clear();
  Append(loan, bytes);
  QuotaLoanFrame read;
  const std::string_view payload = Only(bytes).payload;
  REQUIRE(Decode(payload, read));
  REQUIRE(read.account == 7);
  REQUIRE(read.is_lender);
  REQUIRE(read.loan.granted == 5);
  REQUIRE(read.loan.next_request == Millis{20});
  REQUIRE(read.loan.wait == Millis{1900});
  REQUIRE(read.loan.is_well_below_limit);
  for (std::size_t size = 0; size < payload.size(); ++size) {
    REQUIRE_FALSE(Decode(payload.substr(0, size), read));
  }
  AnswerFrame answer;
  answer.error_rate = 0.25;
  bytes.clear();
  Append(answer, bytes);
  AnswerFrame answer_read;
  REQUIRE(Decode(Only(bytes).payload, answer_read));
  REQUIRE(answer_read.error_rate == 0.25);
}

TEST_CASE("the rate limit of a target is unchanged by a round trip") {
  for (const std::optional<double>& limit :
       {std::optional<double>(), std::optional<double>(0),
        std::optional<double>(36.25), std::optional<double>(1e6)}) {
    StateFrame state;
    state.limit_per_s = limit;
    std::string bytes;
    Append(state, bytes);
    StateFrame state_read;
    REQUIRE(Decode(Only(bytes).payload, state_read));
    REQUIRE(state_read.limit_per_s == limit);
    REQUIRE(EqualExceptLoad(state, state_read));
    state.limit_per_s = 7;
    REQUIRE_FALSE(EqualExceptLoad(state, state_read));
    AnswerFrame answer;
    answer.limit_per_s = limit;
    answer.limit_wait_ms = 250;
    bytes.clear();
    Append(answer, bytes);
    AnswerFrame answer_read;
    REQUIRE(Decode(Only(bytes).payload, answer_read));
    REQUIRE(answer_read.limit_per_s == limit);
    REQUIRE(answer_read.limit_wait_ms == 250);
    HelloFrame hello;
    hello.known_limit_per_s = limit;
    hello.limited_instance = limit.has_value() ? "i-1" : "";
    hello.limited_started_at = limit.has_value() ? 77 : 0;
    bytes.clear();
    Append(hello, bytes);
    HelloFrame hello_read;
    REQUIRE(Decode(Only(bytes).payload, hello_read));
    REQUIRE(hello_read.known_limit_per_s == limit);
    REQUIRE(hello_read.limited_instance == hello.limited_instance);
    REQUIRE(hello_read.limited_started_at == hello.limited_started_at);
  }
  CallFrame call;
  call.may_move = true;
  std::string bytes;
  Append(call, bytes);
  CallFrame call_read;
  REQUIRE(Decode(Only(bytes).payload, call_read));
  REQUIRE(call_read.may_move);
  REQUIRE_FALSE(call_read.is_repeat);
}

}  // namespace
}  // namespace almondlink::relay
