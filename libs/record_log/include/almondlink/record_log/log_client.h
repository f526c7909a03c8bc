#ifndef ALMONDLINK_RECORD_LOG_LOG_CLIENT_H_
#define ALMONDLINK_RECORD_LOG_LOG_CLIENT_H_

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "almondlink/base/clock.h"
#include "almondlink/base/error.h"
#include "almondlink/base/strong.h"
#include "almondlink/config/setting.h"
#include "almondlink/wire/messages.generated.h"

namespace almondlink::record_log {

using StreamName = Strong<struct StreamNameTag, std::string>;

/// Streams that almondlink keeps, all of one deployment.
StreamName BundleStream(const std::string& deployment);
StreamName MemberStream(const std::string& deployment);
StreamName UsageStream(const std::string& deployment);
StreamName ClaimStream(const std::string& deployment,
                       const std::string& service);

/// What a LogClient needs.
struct LogClientConfig {
  config::Endpoint address;
  Millis timeout{2000};
};

/// The platform's append-only log. An interface, so that tests can put a fake
/// with chosen faults in its place. Implementations are used by one thread at a
/// time; calls block up to the timeout.
class Log {
 public:
  virtual ~Log() = default;

  /// Appends a record and returns its offset. An error does not tell whether
  /// the record was appended: read back before appending again. Errors: kIo,
  /// kTimedOut.
  virtual Result<std::uint64_t> Append(
      const StreamName& stream,
      const std::vector<std::uint8_t>& record) = 0;

  /// Reads up to `most` records from offset `from`, or from the first that is
  /// retained. Errors: kIo, kTimedOut, kBadMessage.
  virtual Result<wire::LogPage> Read(const StreamName& stream,
                                     std::uint64_t from,
                                     std::uint32_t most) = 0;
};

/// The log over HTTP, by cxxtools. Every request uses a connection of its own:
/// the library repeats a request, appends included, when a kept connection dies
/// under it.
std::unique_ptr<Log> MakeHttpLog(const LogClientConfig& config);

}  // namespace almondlink::record_log

#endif  // ALMONDLINK_RECORD_LOG_LOG_CLIENT_H_
