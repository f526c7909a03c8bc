#include <cstdint>
#include <string>
#include <vector>

#include "almondlink/config/load_settings.h"
#include "almondlink/control/idempotency_key.h"
#include "almondlink/policy/bundle.h"
#include "almondlink/policy/fold.h"
#include "almondlink/wire/messages.generated.h"

/// Fuzz target of everything that reads what peers, the log, callers or files
/// send: the first byte picks the decoder. What decodes must encode and decode
/// again to the same bytes.

namespace {

using almondlink::Failure;
using almondlink::HandleFailure;
using almondlink::Result;
using Bytes = std::vector<std::uint8_t>;

template <typename Message>
void RoundTrip(Result<Message> (*decode)(const std::uint8_t*, std::size_t),
               const std::uint8_t* data,
               std::size_t size) {
  HandleFailure(
      [&]() -> Result<bool> {
        BOOST_LEAF_AUTO(message, decode(data, size));
        const Bytes once = almondlink::wire::Encode(message);
        BOOST_LEAF_AUTO(again, decode(once.data(), once.size()));
        if (almondlink::wire::Encode(again) != once) {
          __builtin_trap();
        }
        return true;
      },
      [](const Failure&) { return false; });
}

void DecodeMessages(const std::uint8_t* data, std::size_t size) {
  namespace wire = almondlink::wire;
  RoundTrip(&wire::DecodeCall, data, size);
  RoundTrip(&wire::DecodeAnswer, data, size);
  RoundTrip(&wire::DecodeHello, data, size);
  RoundTrip(&wire::DecodeProbe, data, size);
  RoundTrip(&wire::DecodeProbeAck, data, size);
  RoundTrip(&wire::DecodeStatePush, data, size);
  RoundTrip(&wire::DecodeClaimBatch, data, size);
  RoundTrip(&wire::DecodeUsageRecord, data, size);
  RoundTrip(&wire::DecodeLogPage, data, size);
}

void ApplyToFold(const std::uint8_t* data, std::size_t size) {
  almondlink::policy::FoldRules rules;
  rules.deployment = "d";
  rules.deployment_key.bytes.assign(32, 1);
  almondlink::policy::FoldState state;
  almondlink::policy::ApplyRecord(
      rules, state, almondlink::policy::LogRecord{0, Bytes(data, data + size)});
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  if (size == 0) {
    return 0;
  }
  const std::string text(reinterpret_cast<const char*>(data) + 1, size - 1);
  switch (data[0] % 5) {
    case 0:
      DecodeMessages(data + 1, size - 1);
      break;
    case 1:
      ApplyToFold(data + 1, size - 1);
      break;
    case 2:
      almondlink::policy::ParseBundle(text);
      break;
    case 3:
      HandleFailure(
          [&]() -> Result<bool> {
            BOOST_LEAF_CHECK(almondlink::config::ParseSettings("f", text));
            return true;
          },
          [](const Failure&) { return false; });
      break;
    default:
      almondlink::control::ParseMintedKey(text);
      almondlink::control::TimeOfUuid7(text);
      break;
  }
  return 0;
}
