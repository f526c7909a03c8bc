#ifndef ALMONDLINK_MESH_SRC_LINK_PROOF_H_
#define ALMONDLINK_MESH_SRC_LINK_PROOF_H_

#include <string>

#include "almondlink/policy/signing.h"

namespace almondlink::mesh {

/// Bytes of a nonce.
constexpr std::size_t kNonceBytes = 32;

/// What a side proves: it holds the deployment key, for this nonce, in this
/// role and under this name. The role keeps one side's proof from being sent
/// back as the other's.
inline policy::Bytes ProofInput(const char* role,
                                const policy::Bytes& nonce,
                                const std::string& node) {
  const std::string text = std::string(role) + ":" + node + ":";
  policy::Bytes input(text.begin(), text.end());
  input.insert(input.end(), nonce.begin(), nonce.end());
  return input;
}

constexpr const char* kDialRole = "dial";
constexpr const char* kAcceptRole = "accept";

}  // namespace almondlink::mesh

#endif  // ALMONDLINK_MESH_SRC_LINK_PROOF_H_
