#include "almondlink/policy/account_table.h"

#include <sodium.h>

#include <array>
#include <utility>

#include "almondlink/base/hash.h"

namespace almondlink::policy {

AccountKey AccountKeyOf(std::string_view name) {
  return AccountKey(static_cast<std::uint32_t>(StableHash(name)) | 1U);
}

Result<void> AccountTable::Add(ClientAccount account,
                               const std::vector<std::string>& api_keys) {
  account.key = AccountKeyOf(account.name);
  const auto index = static_cast<std::uint32_t>(this->accounts.size());
  const auto [same, is_new] = this->by_key.emplace(account.key.Value(), index);
  if (!is_new) {
    return Fail(ErrorKind::kBadMessage, "accounts: " + account.name + " and " +
                                            this->accounts[same->second].name +
                                            " cannot be told apart");
  }
  for (const std::string& api_key : api_keys) {
    const auto [held, is_free] = this->by_api_key.emplace(api_key, index);
    if (!is_free && held->second != index) {
      return Fail(ErrorKind::kBadMessage,
                  "accounts: " + this->accounts[held->second].name + " and " +
                      account.name + " hold the same key");
    }
  }
  if (account.priority.has_value()) {
    this->priorities.insert(*account.priority);
  }
  if (account.limit.per_s > 0) {
    ++this->limited;
    this->limits_per_s += account.limit.per_s;
  }
  this->accounts.push_back(std::move(account));
  return {};
}

const ClientAccount* AccountTable::FindByApiKey(
    const std::string& api_key) const {
  const auto found = this->by_api_key.find(api_key);
  return found == this->by_api_key.end() ? nullptr
                                         : &this->accounts[found->second];
}

const ClientAccount* AccountTable::Find(AccountKey key) const {
  const auto found = this->by_key.find(key.Value());
  return found == this->by_key.end() ? nullptr : &this->accounts[found->second];
}

std::string KeyFingerprint(std::string_view api_key) {
  constexpr std::size_t kShown = 4;
  std::array<unsigned char, crypto_generichash_BYTES_MIN> digest{};
  crypto_generichash(digest.data(), digest.size(),
                     reinterpret_cast<const unsigned char*>(api_key.data()),
                     api_key.size(), nullptr, 0);
  std::array<char, kShown * 2 + 1> text{};
  sodium_bin2hex(text.data(), text.size(), digest.data(), kShown);
  return text.data();
}

}  // namespace almondlink::policy
