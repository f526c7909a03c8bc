#include "almondlink/control/claims.h"

#include "almondlink/control/idempotency_key.h"

namespace almondlink::control {

void SkipToRetained(std::uint64_t first_retained,
                    Millis wall_now,
                    Claims& claims) {
  if (first_retained <= claims.next_offset) {
    return;
  }
  // On the first read nothing is missing: the caller checks the log's retention
  // against the key lifetime, so the retained records cover every key that is
  // still accepted. A later gap means that records were dropped unread.
  const bool is_start = claims.next_offset == 0;
  if (!is_start) {
    claims.has_gap = true;
    claims.undecidable_before = wall_now + kMaxClockSkew;
  }
  claims.next_offset = first_retained;
}

void ApplyClaims(std::uint64_t offset,
                 const wire::ClaimBatch& batch,
                 Millis now,
                 Claims& claims) {
  if (offset < claims.next_offset) {
    return;
  }
  claims.next_offset = offset + 1;
  if (!claims.record_ids.insert(batch.record_id).second) {
    return;
  }
  claims.record_order.emplace_back(batch.record_id, now);
  for (const std::string& key : batch.keys) {
    const Claim claim{NodeId(batch.node), Incarnation(batch.incarnation),
                      offset, now};
    if (claims.by_key.emplace(key, claim).second) {
      claims.order.push_back(key);
    }
  }
}

const Claim* FindClaim(const std::string& key, const Claims& claims) {
  const auto found = claims.by_key.find(key);
  return found == claims.by_key.end() ? nullptr : &found->second;
}

bool HasRecord(const std::string& record_id, const Claims& claims) {
  return claims.record_ids.count(record_id) != 0;
}

void ExpireClaims(Millis now, Millis age, Claims& claims) {
  while (!claims.order.empty()) {
    const auto oldest = claims.by_key.find(claims.order.front());
    if (oldest != claims.by_key.end() &&
        now - oldest->second.learned_at <= age) {
      break;
    }
    claims.by_key.erase(claims.order.front());
    claims.order.pop_front();
  }
  while (!claims.record_order.empty() &&
         now - claims.record_order.front().second > age) {
    claims.record_ids.erase(claims.record_order.front().first);
    claims.record_order.pop_front();
  }
}

bool CanDecide(Millis created_at, const Claims& claims) {
  return !claims.has_gap || created_at >= claims.undecidable_before;
}

}  // namespace almondlink::control
