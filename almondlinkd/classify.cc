#include "almondlinkd/classify.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdio>

#include "almondlink/control/idempotency_key.h"

namespace almondlink::daemon {

namespace {

constexpr std::size_t kTraceParentLength = 55;
constexpr std::size_t kRootDigits = 32;
constexpr std::size_t kSpanDigits = 16;
constexpr std::size_t kRootPlace = 3;
constexpr std::size_t kSpanPlace = 36;
constexpr std::size_t kMaxName = 128;

/// Lower-case hexadecimal digits only, as the W3C text asks.
bool ParseHex(const std::string& text,
              std::size_t at,
              std::size_t count,
              std::uint64_t& value) {
  const std::string digits = text.substr(at, count);
  const bool is_lower =
      digits.find_first_not_of("0123456789abcdef") == std::string::npos;
  const std::from_chars_result parsed =
      std::from_chars(digits.data(), digits.data() + digits.size(), value, 16);
  return is_lower && digits.size() == count && parsed.ec == std::errc();
}

std::string ToHex(std::uint64_t value) {
  std::array<char, kSpanDigits + 1> text{};
  std::snprintf(text.data(), text.size(), "%016llx",
                static_cast<unsigned long long>(value));
  return text.data();
}

Result<void> ReadTrace(const server::CallerRequest& request,
                       const control::WorkTable& work,
                       const ClassifyInput& input,
                       ClassifiedCall& call) {
  const std::string& text =
      server::HeaderValue(request.headers, server::kTraceParentHeader);
  if (text.empty()) {
    call.root = input.fresh_root;
    return {};
  }
  BOOST_LEAF_AUTO(trace, ParseTraceParent(text));
  call.root = trace.root;
  const std::optional<control::WorkContext> context = work.Find(trace.span);
  const bool is_nested = context.has_value() &&
                         context->root.high == trace.root.high &&
                         context->root.low == trace.root.low;
  if (is_nested) {
    call.parent = trace.span;
    call.criticality = context->criticality;
    call.depth = context->depth + 1;
    call.deadline = context->deadline;
  }
  return {};
}

Result<void> ReadOperation(const server::CallerRequest& request,
                           ClassifiedCall& call) {
  const policy::Bundle& bundle = *call.view->in_force->bundle;
  const std::string& service =
      server::HeaderValue(request.headers, server::kServiceHeader);
  if (bundle.by_service.count(service) == 0) {
    return Fail(ErrorKind::kUnknownService, "");
  }
  const std::string_view target = request.target;
  const std::string_view path = target.substr(0, target.find('?'));
  call.operation = bundle.Match(service, request.method, path);
  if (call.operation == nullptr) {
    return Fail(ErrorKind::kUnknownOperation, "");
  }
  if (!call.parent.has_value()) {
    call.criticality = call.operation->criticality;
  }
  return {};
}

Result<void> ReadIdentity(const server::CallerRequest& request,
                          ClassifiedCall& call) {
  call.team = server::HeaderValue(request.headers, server::kTeamHeader);
  call.caller = server::HeaderValue(request.headers, server::kCallerHeader);
  const bool is_known = call.view->budgets.count(call.team) != 0 &&
                        !call.caller.empty() && call.caller.size() <= kMaxName;
  if (!is_known) {
    return Fail(ErrorKind::kMissingIdentity, "");
  }
  return {};
}

/// The deadline is the earliest of the operation's, the caller's and the one of
/// the work that the call belongs to.
Result<void> ReadDeadline(const server::CallerRequest& request,
                          const ClassifyInput& input,
                          ClassifiedCall& call) {
  Millis timeout = call.operation->timeout;
  const std::string& text =
      server::HeaderValue(request.headers, server::kTimeoutHeader);
  if (!text.empty()) {
    std::int64_t asked = 0;
    const std::from_chars_result parsed =
        std::from_chars(text.data(), text.data() + text.size(), asked);
    const bool is_number =
        parsed.ec == std::errc() && parsed.ptr == text.data() + text.size();
    if (!is_number) {
      return Fail(ErrorKind::kBadTimeout, "");
    }
    timeout = std::min(timeout, Millis{asked});
  }
  const Millis own = input.now + timeout;
  call.deadline = call.parent.has_value() ? std::min(own, call.deadline) : own;
  if (call.deadline <= input.now) {
    return Fail(ErrorKind::kDeadlinePassed, "");
  }
  return {};
}

Result<void> ReadKey(const server::CallerRequest& request,
                     const ClassifyInput& input,
                     ClassifiedCall& call) {
  if (call.operation->is_repeatable) {
    return {};
  }
  call.key = server::HeaderValue(request.headers, server::kKeyHeader);
  call.is_declared_repeat =
      !server::HeaderValue(request.headers, server::kRepeatHeader).empty();
  if (call.key.empty()) {
    return Fail(ErrorKind::kMissingKey, "");
  }
  const std::optional<Millis> made = control::TimeOfUuid7(call.key);
  const std::optional<control::MintedKey> minted =
      control::ParseMintedKey(call.key);
  if (!made.has_value() && !minted.has_value()) {
    return Fail(ErrorKind::kBadKey, "");
  }
  call.key_made = made.has_value() ? *made : minted->created_at;
  const Millis lifetime = call.view->in_force->bundle->key_lifetime;
  const ErrorKind age =
      control::CheckKeyAge(call.key_made, input.wall_now, lifetime);
  if (age != ErrorKind::kNone) {
    return Fail(age, "");
  }
  return {};
}

}  // namespace

Result<RootId> ParseRoot(const std::string& text) {
  RootId root;
  const bool is_parsed = text.size() == kRootDigits &&
                         ParseHex(text, 0, kSpanDigits, root.high) &&
                         ParseHex(text, kSpanDigits, kSpanDigits, root.low) &&
                         (root.high != 0 || root.low != 0);
  if (!is_parsed) {
    return Fail(ErrorKind::kBadTraceParent, "");
  }
  return root;
}

Result<TraceParent> ParseTraceParent(const std::string& text) {
  const bool has_form = text.size() == kTraceParentLength &&
                        text.compare(0, kRootPlace, "00-") == 0 &&
                        text[kSpanPlace - 1] == '-' &&
                        text[kSpanPlace + kSpanDigits] == '-';
  if (!has_form) {
    return Fail(ErrorKind::kBadTraceParent, "");
  }
  TraceParent trace;
  BOOST_LEAF_ASSIGN(trace.root,
                    ParseRoot(text.substr(kRootPlace, kRootDigits)));
  std::uint64_t span = 0;
  std::uint64_t flags = 0;
  const bool is_parsed = ParseHex(text, kSpanPlace, kSpanDigits, span) &&
                         span != 0 &&
                         ParseHex(text, kSpanPlace + kSpanDigits + 1, 2, flags);
  if (!is_parsed) {
    return Fail(ErrorKind::kBadTraceParent, "");
  }
  trace.span = SpanId(span);
  return trace;
}

std::string FormatRoot(RootId root) {
  return ToHex(root.high) + ToHex(root.low);
}

std::string FormatTraceParent(RootId root, SpanId span) {
  return "00-" + FormatRoot(root) + "-" + ToHex(span.Value()) + "-01";
}

Result<ClassifiedCall> Classify(const server::CallerRequest& request,
                                const std::shared_ptr<const BundleView>& view,
                                const control::WorkTable& work,
                                const ClassifyInput& input) {
  if (view == nullptr) {
    return Fail(ErrorKind::kNoBundle, "");
  }
  ClassifiedCall call;
  call.view = view;
  BOOST_LEAF_CHECK(ReadTrace(request, work, input, call));
  BOOST_LEAF_CHECK(ReadOperation(request, call));
  BOOST_LEAF_CHECK(ReadIdentity(request, call));
  BOOST_LEAF_CHECK(ReadDeadline(request, input, call));
  BOOST_LEAF_CHECK(ReadKey(request, input, call));
  return call;
}

Result<ClassifiedCall> ClassifyMint(
    const server::CallerRequest& request,
    const std::shared_ptr<const BundleView>& view,
    const ClassifyInput& input) {
  if (view == nullptr) {
    return Fail(ErrorKind::kNoBundle, "");
  }
  ClassifiedCall call;
  call.view = view;
  const policy::Bundle& bundle = *view->in_force->bundle;
  const std::string& service =
      server::HeaderValue(request.headers, server::kServiceHeader);
  const auto found = bundle.by_service.find(service);
  if (found == bundle.by_service.end()) {
    return Fail(ErrorKind::kUnknownService, "");
  }
  for (const std::size_t index : found->second) {
    if (!bundle.operations[index].is_repeatable) {
      call.operation = &bundle.operations[index];
    }
  }
  if (call.operation == nullptr) {
    return Fail(ErrorKind::kUnknownOperation,
                "the service has no at-most-once operation");
  }
  BOOST_LEAF_CHECK(ReadIdentity(request, call));
  call.criticality = call.operation->criticality;
  call.root = input.fresh_root;
  call.deadline = input.now + call.operation->timeout;
  return call;
}

}  // namespace almondlink::daemon
