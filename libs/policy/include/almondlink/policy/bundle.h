#ifndef ALMONDLINK_POLICY_BUNDLE_H_
#define ALMONDLINK_POLICY_BUNDLE_H_

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

#include "almondlink/base/clock.h"
#include "almondlink/base/error.h"
#include "almondlink/base/ids.h"

namespace almondlink::policy {

/// What a deployment weighs more.
enum class Discipline { kGoodput, kRecovery };

/// One operation of a service: a method and a path pattern.
struct OperationSpec {
  OperationName name;
  ServiceName service;
  std::string method;
  /// Path pattern; `{name}` matches one segment, a last `**` the rest.
  std::string path;
  /// The pattern, cut at its slashes.
  std::vector<std::string> segments;
  /// Kind of request for reports, for example `checkout`.
  std::string kind;
  Criticality criticality = Criticality::kNormal;
  /// False: at-most-once, an Idempotency-Key is required.
  bool is_repeatable = true;
  /// Worth of one whole answer.
  std::int64_t weight = 1;
  /// Longest time for the whole request.
  Millis timeout{1000};
  /// Retry grant of a root request of this operation.
  std::uint32_t retries = 3;
  /// Line in the bundle file.
  int line = 0;
};

/// Admission at the targets of one service.
struct ServiceSpec {
  ServiceName name;
  /// Queue wait above which the service counts as overloaded.
  Millis queue_target{20};
  /// Longest wait in the admission queue.
  Millis queue_limit{100};
  int line = 0;
};

/// A team that is charged, and its share of retries.
struct TeamSpec {
  TeamName name;
  /// Retries allowed per first attempt, as a fraction.
  double retry_ratio = 0.1;
  /// Retries that may be saved up.
  std::int64_t retry_burst = 20;
  int line = 0;
};

/// One version of a deployment's overload policy. Immutable once parsed;
/// readers on several threads share it.
struct Bundle {
  std::string deployment;
  std::uint64_t base = 0;
  std::uint64_t version = 0;
  Discipline discipline = Discipline::kGoodput;
  /// Words that accept a change which `CheckChange` would refuse.
  std::string accept_shed_order;
  std::string accept_repeatable;
  /// How long an Idempotency-Key may be used after it was made.
  Millis key_lifetime{15 * 60 * 1000};
  std::vector<ServiceSpec> services;
  std::vector<OperationSpec> operations;
  std::unordered_map<std::string, TeamSpec> teams;
  /// Indexes into `operations` by service.
  std::unordered_map<std::string, std::vector<std::size_t>> by_service;

  /// Settings of a service, or null. Valid as long as the bundle.
  const ServiceSpec* FindService(const ServiceName& name) const;
  /// The operation of that name, or null. Valid as long as the bundle.
  const OperationSpec* FindOperation(const OperationName& name) const;
  /// The operation of `service` that method and path (without query) match,
  /// or null. Allocates nothing. Valid as long as the bundle.
  const OperationSpec* Match(const std::string& service,
                             std::string_view method,
                             std::string_view path) const;
};

/// One fault of a bundle file.
struct Fault {
  int line = 0;
  std::string text;
};

/// A parsed bundle with every fault found; usable only without faults.
struct ParsedBundle {
  Bundle bundle;
  std::vector<Fault> faults;
};

/// Parses a bundle file and checks it by itself. Never fails: what is wrong is
/// in `faults`, each with its line. Thread safe.
ParsedBundle ParseBundle(const std::string& text);

/// What `next` must not do after `current` unless it accepts it in words: shed
/// a more valued operation after a lesser one, or make a known at-most-once
/// operation repeatable. Thread safe.
std::vector<Fault> CheckChange(const Bundle& current, const Bundle& next);

/// ParseBundle for machines. Errors: kBadBundle with the first fault.
Result<Bundle> RequireBundle(const std::string& text);

}  // namespace almondlink::policy

#endif  // ALMONDLINK_POLICY_BUNDLE_H_
