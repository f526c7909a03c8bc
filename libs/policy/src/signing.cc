#include "almondlink/policy/signing.h"

#include <sodium.h>

#include "almondlink/config/ini_reader.h"
#include "almondlink/config/setting.h"

namespace almondlink::policy {

namespace {

/// libsodium must be initialised before anything else of it is used.
void EnsureSodium() {
  static const int kInitialised = sodium_init();
  (void)kInitialised;
}

/// The bytes a record's signature covers: its encoding without signature.
template <typename Record>
Bytes SignedBytes(Record record) {
  record.signature.clear();
  return wire::Encode(std::move(record));
}

template <typename Record>
void SignRecord(const OperatorKey& key, Record& record) {
  EnsureSodium();
  record.operator_key = key.public_key;
  const Bytes message = SignedBytes(record);
  record.signature.resize(crypto_sign_BYTES);
  crypto_sign_detached(record.signature.data(), nullptr, message.data(),
                       message.size(), key.secret_key.data());
}

template <typename Record>
bool IsRecordSigned(const Record& record) {
  EnsureSodium();
  const bool has_sizes =
      record.operator_key.size() == crypto_sign_PUBLICKEYBYTES &&
      record.signature.size() == crypto_sign_BYTES;
  if (!has_sizes) {
    return false;
  }
  const Bytes message = SignedBytes(record);
  return crypto_sign_verify_detached(record.signature.data(), message.data(),
                                     message.size(),
                                     record.operator_key.data()) == 0;
}

/// A file that holds 32 bytes as hexadecimal digits.
Result<Bytes> LoadKeyBytes(const std::string& path) {
  BOOST_LEAF_AUTO(text, config::ReadFile(path));
  const std::vector<std::string> words = config::SplitWords(text);
  const std::string allowed = path + ": allowed: 64 hexadecimal digits";
  if (words.size() != 1 || words[0].size() != 2 * crypto_auth_KEYBYTES) {
    return Fail(ErrorKind::kBadSettings, allowed);
  }
  return FromHex(words[0]);
}

}  // namespace

OperatorKey MakeOperatorKey() {
  EnsureSodium();
  OperatorKey key;
  key.public_key.resize(crypto_sign_PUBLICKEYBYTES);
  key.secret_key.resize(crypto_sign_SECRETKEYBYTES);
  crypto_sign_keypair(key.public_key.data(), key.secret_key.data());
  return key;
}

Result<OperatorKey> OperatorKeyFromSeed(const Bytes& seed) {
  EnsureSodium();
  if (seed.size() != crypto_sign_SEEDBYTES) {
    return Fail(ErrorKind::kBadSignature, "a seed has 32 bytes");
  }
  OperatorKey key;
  key.public_key.resize(crypto_sign_PUBLICKEYBYTES);
  key.secret_key.resize(crypto_sign_SECRETKEYBYTES);
  crypto_sign_seed_keypair(key.public_key.data(), key.secret_key.data(),
                           seed.data());
  return key;
}

Result<OperatorKey> LoadOperatorKey(const std::string& path) {
  BOOST_LEAF_AUTO(seed, LoadKeyBytes(path));
  return OperatorKeyFromSeed(seed);
}

Result<DeploymentKey> LoadDeploymentKey(const std::string& path) {
  BOOST_LEAF_AUTO(bytes, LoadKeyBytes(path));
  return DeploymentKey{bytes};
}

std::string ToHex(const Bytes& bytes) {
  std::string text(bytes.size() * 2 + 1, '\0');
  sodium_bin2hex(text.data(), text.size(), bytes.data(), bytes.size());
  text.pop_back();
  return text;
}

Result<Bytes> FromHex(const std::string& text) {
  Bytes bytes(text.size() / 2);
  std::size_t written = 0;
  const char* end = nullptr;
  const int status = sodium_hex2bin(bytes.data(), bytes.size(), text.data(),
                                    text.size(), nullptr, &written, &end);
  const bool is_whole = status == 0 && end == text.data() + text.size() &&
                        written * 2 == text.size();
  if (!is_whole) {
    return Fail(ErrorKind::kBadSettings,
                "'" + text + "' is not allowed; allowed: hexadecimal digits");
  }
  return bytes;
}

Bytes RandomBytes(std::size_t count) {
  EnsureSodium();
  Bytes bytes(count);
  randombytes_buf(bytes.data(), bytes.size());
  return bytes;
}

Bytes Mac(const DeploymentKey& key, const Bytes& data) {
  EnsureSodium();
  Bytes mac(crypto_auth_BYTES);
  crypto_auth(mac.data(), data.data(), data.size(), key.bytes.data());
  return mac;
}

bool IsMac(const DeploymentKey& key, const Bytes& data, const Bytes& mac) {
  EnsureSodium();
  return mac.size() == crypto_auth_BYTES &&
         crypto_auth_verify(mac.data(), data.data(), data.size(),
                            key.bytes.data()) == 0;
}

Bytes DigestOf(const wire::BundlePropose& proposal) {
  EnsureSodium();
  const Bytes message = SignedBytes(proposal);
  Bytes digest(crypto_generichash_BYTES);
  crypto_generichash(digest.data(), digest.size(), message.data(),
                     message.size(), nullptr, 0);
  return digest;
}

void Sign(const OperatorKey& key, wire::BundlePropose& record) {
  SignRecord(key, record);
}
void Sign(const OperatorKey& key, wire::BundleSign& record) {
  SignRecord(key, record);
}
void Sign(const OperatorKey& key, wire::BundleRelease& record) {
  SignRecord(key, record);
}

bool IsSigned(const wire::BundlePropose& record) {
  return IsRecordSigned(record);
}
bool IsSigned(const wire::BundleSign& record) {
  return IsRecordSigned(record);
}
bool IsSigned(const wire::BundleRelease& record) {
  return IsRecordSigned(record);
}

void Seal(const DeploymentKey& key, wire::BundleSnapshot& record) {
  record.mac.clear();
  record.mac = Mac(key, wire::Encode(record));
}

bool IsSealed(const DeploymentKey& key, const wire::BundleSnapshot& record) {
  wire::BundleSnapshot bare = record;
  bare.mac.clear();
  return IsMac(key, wire::Encode(std::move(bare)), record.mac);
}

}  // namespace almondlink::policy
