#ifndef ALMONDLINK_TOOL_FLAGS_H_
#define ALMONDLINK_TOOL_FLAGS_H_

#include <gflags/gflags_declare.h>

#include <memory>

#include "almondlink/base/error.h"
#include "almondlink/policy/fold.h"
#include "almondlink/policy/signing.h"
#include "almondlink/record_log/log_client.h"

DECLARE_string(log);
DECLARE_string(deployment);
DECLARE_string(operators);
DECLARE_int32(signatures);
DECLARE_string(key);
DECLARE_string(deployment_key);
DECLARE_string(node);

namespace almondlink::tool {

/// The log named by --log. Errors: kBadSettings.
Result<std::unique_ptr<record_log::Log>> OpenLog();

/// Rules of the release fold from the flags. Errors: kBadSettings, kIo.
Result<policy::FoldRules> FoldRulesFromFlags();

/// Key named by --deployment_key. Errors: kBadSettings, kIo.
Result<policy::DeploymentKey> DeploymentKeyFromFlags();

/// Fails with a usage error if a flag is empty.
Result<void> RequireFlag(const std::string& value, const char* name);

/// Reads a whole stream; `apply(page)` takes each page. Errors: of the log.
template <typename Apply>
Result<void> ReadWhole(record_log::Log& log,
                       const record_log::StreamName& stream,
                       Apply apply) {
  std::uint64_t next = 0;
  while (true) {
    BOOST_LEAF_AUTO(page, log.Read(stream, next, 500));
    apply(page);
    if (page.entries.empty()) {
      return {};
    }
    next = page.entries.back().offset + 1;
    if (next >= page.next_offset) {
      return {};
    }
  }
}

}  // namespace almondlink::tool

#endif  // ALMONDLINK_TOOL_FLAGS_H_
