#ifndef ALMONDLINK_BASE_EVENT_LOG_H_
#define ALMONDLINK_BASE_EVENT_LOG_H_

#include <cstdint>
#include <initializer_list>
#include <string>
#include <utility>

/// Structured log lines with numbered events, written by easylogging++ to
/// standard error. docs/EVENTS.md is the catalogue; a test compares the two.
namespace almondlink {

enum class Level : std::uint32_t { kDebug, kInfo, kWarning, kError };

/// One kind of log line. Numbers are never given to another event.
struct Event {
  std::uint32_t number;
  Level level;
  const char* name;
};

// Life of the process.
constexpr Event kEventStarted{100, Level::kInfo, "started"};
constexpr Event kEventStopping{101, Level::kInfo, "stopping"};
constexpr Event kEventStopped{102, Level::kInfo, "stopped"};
constexpr Event kEventCannotStart{103, Level::kError, "cannot-start"};
constexpr Event kEventDrainForced{104, Level::kWarning, "drain-forced"};
// Bundle and log.
constexpr Event kEventBundleInForce{200, Level::kInfo, "bundle-in-force"};
constexpr Event kEventBundleRefused{201, Level::kWarning, "bundle-refused"};
constexpr Event kEventLogUnavailable{202, Level::kWarning, "log-unavailable"};
constexpr Event kEventLogBack{203, Level::kInfo, "log-back"};
constexpr Event kEventBundleKept{204, Level::kInfo, "bundle-appended-again"};
constexpr Event kEventRecordRefused{205, Level::kWarning, "record-refused"};
constexpr Event kEventClaimGap{206, Level::kError, "claim-stream-gap"};
// Membership and links.
constexpr Event kEventMemberChanged{300, Level::kInfo, "member-changed"};
constexpr Event kEventLinkOpen{301, Level::kDebug, "link-open"};
constexpr Event kEventLinkLost{302, Level::kInfo, "link-lost"};
constexpr Event kEventLinkSilent{303, Level::kWarning, "link-silent"};
constexpr Event kEventPeerRefused{304, Level::kWarning, "peer-refused"};
constexpr Event kEventRefuted{305, Level::kWarning, "suspicion-refuted"};
// Load.
constexpr Event kEventPressure{400, Level::kInfo, "pressure-changed"};
constexpr Event kEventTargetSetAside{401, Level::kWarning, "target-set-aside"};
constexpr Event kEventTargetBack{402, Level::kInfo, "target-back"};
constexpr Event kEventTargetProtocol{403, Level::kWarning, "target-protocol"};
// Requests and what a relay believes.
constexpr Event kEventRefusedAtEntry{600, Level::kInfo, "refused-at-entry"};
constexpr Event kEventNotRun{601, Level::kInfo, "not-run"};
constexpr Event kEventOutcomeUnknown{602, Level::kWarning, "outcome-unknown"};
constexpr Event kEventSentAgain{603, Level::kInfo, "sent-again"};
constexpr Event kEventAttemptFailed{604, Level::kInfo, "attempt-failed"};
constexpr Event kEventTargetCallFailed{605, Level::kInfo, "target-call-failed"};
constexpr Event kEventNoRoute{606, Level::kInfo, "no-route"};
constexpr Event kEventPolicyTaken{610, Level::kInfo, "policy-taken"};
constexpr Event kEventInstance{611, Level::kInfo, "instance"};
constexpr Event kEventPeerSeen{612, Level::kInfo, "peer-seen"};
constexpr Event kEventStoreLost{613, Level::kWarning, "store-lost"};
constexpr Event kEventStoreBack{614, Level::kInfo, "store-back"};
constexpr Event kEventReloaded{615, Level::kInfo, "reloaded"};
// Tracing.
constexpr Event kEventTraceOn{500, Level::kInfo, "trace-on"};
constexpr Event kEventTraceOff{501, Level::kInfo, "trace-off"};

using LogField = std::pair<const char*, std::string>;

/// Sets up easylogging++. Call once, before any thread starts.
void StartLogging(const std::string& node, Level lowest);

/// Writes one line `E<number> <name> key=value ...`. Thread safe.
void LogEvent(const Event& event, std::initializer_list<LogField> fields = {});

/// Parses debug, info, warning or error; false for anything else.
bool ParseLevel(const std::string& text, Level& level);

}  // namespace almondlink

#endif  // ALMONDLINK_BASE_EVENT_LOG_H_
