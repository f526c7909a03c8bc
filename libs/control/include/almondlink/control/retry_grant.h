#ifndef ALMONDLINK_CONTROL_RETRY_GRANT_H_
#define ALMONDLINK_CONTROL_RETRY_GRANT_H_

#include <cstdint>

/// The retry grant of a root request.
///
/// The root request gets a count of retries at its entry node. The count is
/// never copied: a node lends a part of what it holds with each call and takes
/// the unspent part back from the answer. Let G be the grant and n the calls
/// that the services make by themselves. Each retry anywhere takes one from a
/// holder, and the sum over all holders never grows, so the whole tree sees at
/// most n + G attempts, however calls are nested or run side by side. A lost
/// answer loses what was lent with its call: the bound errs to fewer retries.
namespace almondlink::control {

/// What one holder has and what it has lent out.
struct RetryGrant {
  std::uint32_t available = 0;
};

/// Takes one retry. False, and no change, if none is left.
bool TakeRetry(RetryGrant& grant);

/// Takes the part to lend with one call: half of what is there, rounded down,
/// so that the holder can still repeat the call when its answer is lost.
std::uint32_t Lend(RetryGrant& grant);

/// Takes back the unspent part; never more than was lent.
void GiveBack(RetryGrant& grant, std::uint32_t lent, std::uint32_t unspent);

}  // namespace almondlink::control

#endif  // ALMONDLINK_CONTROL_RETRY_GRANT_H_
