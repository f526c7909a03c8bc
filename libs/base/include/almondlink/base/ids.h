#ifndef ALMONDLINK_BASE_IDS_H_
#define ALMONDLINK_BASE_IDS_H_

#include <cstdint>
#include <string>

#include "almondlink/base/strong.h"

/// Names and numbers of the things a node deals with, one type each.
namespace almondlink {

using NodeId = Strong<struct NodeIdTag, std::string>;
using ServiceName = Strong<struct ServiceNameTag, std::string>;
using OperationName = Strong<struct OperationNameTag, std::string>;
using ZoneName = Strong<struct ZoneNameTag, std::string>;
using TeamName = Strong<struct TeamNameTag, std::string>;
using CallerName = Strong<struct CallerNameTag, std::string>;
using IdempotencyKey = Strong<struct IdempotencyKeyTag, std::string>;

/// Start time of a process in wall-clock milliseconds; a later start of the
/// same node has a higher one.
using Incarnation = Strong<struct IncarnationTag, std::uint64_t>;

/// Trace id of a root request (W3C), the same on every hop.
struct RootId {
  std::uint64_t high = 0;
  std::uint64_t low = 0;
};

/// Id of one piece of work on a node; sent to the target as the parent id.
using SpanId = Strong<struct SpanIdTag, std::uint64_t>;

/// Class of importance. Lower values are shed later.
enum class Criticality : std::uint32_t {
  kCritical = 0,
  kHigh = 1,
  kNormal = 2,
  kSheddable = 3,
};

constexpr std::uint32_t kCriticalityCount = 4;

/// Name of a class as written in bundles and metrics.
const char* ToString(Criticality criticality);

}  // namespace almondlink

#endif  // ALMONDLINK_BASE_IDS_H_
