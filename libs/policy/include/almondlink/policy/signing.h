#ifndef ALMONDLINK_POLICY_SIGNING_H_
#define ALMONDLINK_POLICY_SIGNING_H_

#include <cstdint>
#include <string>
#include <vector>

#include "almondlink/base/error.h"
#include "almondlink/wire/messages.generated.h"

/// Ed25519 signatures of operators and HMACs of nodes, by libsodium.
namespace almondlink::policy {

using Bytes = std::vector<std::uint8_t>;

/// An operator's key pair.
struct OperatorKey {
  /// 32 bytes.
  Bytes public_key;
  /// 64 bytes, libsodium's form.
  Bytes secret_key;
};

/// The key that all nodes of a deployment share, 32 bytes.
struct DeploymentKey {
  Bytes bytes;
};

/// Makes a random key pair. Thread safe.
OperatorKey MakeOperatorKey();

/// Key pair from its 32-byte seed. Errors: kBadSignature for another length.
Result<OperatorKey> OperatorKeyFromSeed(const Bytes& seed);

/// Reads a file with the seed as 64 hexadecimal digits. Errors: kIo,
/// kBadSettings.
Result<OperatorKey> LoadOperatorKey(const std::string& path);

/// Reads a file with 64 hexadecimal digits. Errors: kIo, kBadSettings.
Result<DeploymentKey> LoadDeploymentKey(const std::string& path);

/// Lower-case hexadecimal digits.
std::string ToHex(const Bytes& bytes);

/// Parses hexadecimal digits. Errors: kBadSettings.
Result<Bytes> FromHex(const std::string& text);

/// `count` random bytes of the system's source.
Bytes RandomBytes(std::size_t count);

/// HMAC-SHA512-256 of `data` and whether a given one is right (compared in
/// constant time). Thread safe.
Bytes Mac(const DeploymentKey& key, const Bytes& data);
bool IsMac(const DeploymentKey& key, const Bytes& data, const Bytes& mac);

/// Digest of a proposal, the signature left out.
Bytes DigestOf(const wire::BundlePropose& proposal);

/// Sign a record in place: sets `operator_key` and `signature`.
void Sign(const OperatorKey& key, wire::BundlePropose& record);
void Sign(const OperatorKey& key, wire::BundleSign& record);
void Sign(const OperatorKey& key, wire::BundleRelease& record);

/// Whether the signature in the record is by its `operator_key`.
bool IsSigned(const wire::BundlePropose& record);
bool IsSigned(const wire::BundleSign& record);
bool IsSigned(const wire::BundleRelease& record);

/// Sets the snapshot's HMAC, and checks it.
void Seal(const DeploymentKey& key, wire::BundleSnapshot& record);
bool IsSealed(const DeploymentKey& key, const wire::BundleSnapshot& record);

}  // namespace almondlink::policy

#endif  // ALMONDLINK_POLICY_SIGNING_H_
