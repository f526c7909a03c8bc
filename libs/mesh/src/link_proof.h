#ifndef ALMONDLINK_MESH_SRC_LINK_PROOF_H_
#define ALMONDLINK_MESH_SRC_LINK_PROOF_H_

#include <string>

#include "almondlink/base/error.h"
#include "almondlink/policy/signing.h"
#include "almondlink/wire/messages.generated.h"

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

/// The dialling side's proof, with the nonce for which the other side has to
/// prove the key.
inline wire::Hello MakeHello(const policy::DeploymentKey& key,
                             const std::string& node,
                             const policy::Bytes& own_nonce,
                             const wire::Challenge& challenge) {
  wire::Hello hello;
  hello.node = node;
  hello.nonce = own_nonce;
  hello.mac = policy::Mac(key, ProofInput(kDialRole, challenge.nonce, node));
  return hello;
}

/// Fails with kBadSignature if the accepting side has not proved the key for
/// `own_nonce`.
inline Result<void> CheckWelcome(const policy::DeploymentKey& key,
                                 const policy::Bytes& own_nonce,
                                 const wire::Welcome& welcome) {
  const policy::Bytes input = ProofInput(kAcceptRole, own_nonce, welcome.node);
  if (!policy::IsMac(key, input, welcome.mac)) {
    return Fail(ErrorKind::kBadSignature,
                "the peer does not hold the deployment key");
  }
  return {};
}

}  // namespace almondlink::mesh

#endif  // ALMONDLINK_MESH_SRC_LINK_PROOF_H_
