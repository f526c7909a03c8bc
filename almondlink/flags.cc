#include "almondlink/flags.h"

#include <gflags/gflags.h>

#include "almondlink/config/setting.h"

DEFINE_string(log, "", "address of the platform's log, ip:port");
DEFINE_string(deployment, "", "deployment name");
DEFINE_string(operators,
              "",
              "Ed25519 public keys of the operators, hexadecimal, separated by "
              "spaces");
DEFINE_int32(signatures, 2, "distinct operators that must sign a bundle");
DEFINE_string(key, "", "file with your operator key");
DEFINE_string(deployment_key, "", "file with the key that nodes share");
DEFINE_string(node,
              "",
              "a node: its admin address for dump, else its peer address");

namespace almondlink::tool {

Result<void> RequireFlag(const std::string& value, const char* name) {
  if (value.empty()) {
    return Fail(ErrorKind::kBadSettings,
                std::string("--") + name + " is required");
  }
  return {};
}

Result<std::unique_ptr<record_log::Log>> OpenLog() {
  BOOST_LEAF_CHECK(RequireFlag(FLAGS_log, "log"));
  BOOST_LEAF_CHECK(RequireFlag(FLAGS_deployment, "deployment"));
  record_log::LogClientConfig config;
  BOOST_LEAF_ASSIGN(config.address, config::ParseEndpoint(FLAGS_log));
  config.timeout = Millis{5000};
  return record_log::MakeHttpLog(config);
}

Result<policy::DeploymentKey> DeploymentKeyFromFlags() {
  BOOST_LEAF_CHECK(RequireFlag(FLAGS_deployment_key, "deployment_key"));
  return policy::LoadDeploymentKey(FLAGS_deployment_key);
}

Result<policy::FoldRules> FoldRulesFromFlags() {
  BOOST_LEAF_CHECK(RequireFlag(FLAGS_operators, "operators"));
  policy::FoldRules rules;
  rules.deployment = FLAGS_deployment;
  rules.signatures = static_cast<std::size_t>(FLAGS_signatures);
  for (const std::string& text : config::SplitWords(FLAGS_operators)) {
    BOOST_LEAF_AUTO(bytes, policy::FromHex(text));
    rules.operators.push_back(bytes);
  }
  if (FLAGS_deployment_key.empty()) {
    // Without it snapshots cannot be checked; a key that seals nothing.
    rules.deployment_key.bytes = policy::RandomBytes(32);
    return rules;
  }
  BOOST_LEAF_ASSIGN(rules.deployment_key, DeploymentKeyFromFlags());
  return rules;
}

}  // namespace almondlink::tool
