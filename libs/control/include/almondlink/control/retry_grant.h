#ifndef ALMONDLINK_CONTROL_RETRY_GRANT_H_
#define ALMONDLINK_CONTROL_RETRY_GRANT_H_

#include <cstdint>

/// Retry grant of a root request.
///
/// The root request gets a number of retries at its entry node. The number is
/// never copied: a node lends a part of what it holds with each call and takes
/// the unspent part back from the answer. Let G be the grant and n the number
/// of calls that the services make themselves. Each retry anywhere takes one
/// from its holder, and the sum over all holders never grows, so the whole call
/// tree makes at most n + G attempts, however calls are nested or run in
/// parallel. If an answer is lost, the retries lent with its call are lost too,
/// which only lowers the number of retries.
namespace almondlink::control {

/// The retries that one holder has left.
struct RetryGrant {
  std::uint32_t available = 0;
};

/// Takes one retry. Returns false and changes nothing if none is left.
bool TakeRetry(RetryGrant& grant);

/// Takes the part to lend with one call: half of what is available, rounded
/// down, so that the holder can still repeat the call if its answer is lost.
std::uint32_t Lend(RetryGrant& grant);

/// Takes back the unspent part of what was lent, at most `lent`.
void GiveBack(RetryGrant& grant, std::uint32_t lent, std::uint32_t unspent);

}  // namespace almondlink::control

#endif  // ALMONDLINK_CONTROL_RETRY_GRANT_H_
