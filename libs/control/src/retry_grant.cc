#include "almondlink/control/retry_grant.h"

#include <algorithm>

namespace almondlink::control {

bool TakeRetry(RetryGrant& grant) {
  if (grant.available == 0) {
    return false;
  }
  --grant.available;
  return true;
}

std::uint32_t Lend(RetryGrant& grant) {
  const std::uint32_t lent = grant.available / 2;
  grant.available -= lent;
  return lent;
}

void GiveBack(RetryGrant& grant, std::uint32_t lent, std::uint32_t unspent) {
  grant.available += std::min(lent, unspent);
}

}  // namespace almondlink::control
