#include "almondlinkd/at_most_once.h"

#include <boost/asio/post.hpp>
#include <utility>
#include <vector>

namespace almondlink::daemon {

using control::KeyEntry;
using control::KeyState;

AtMostOnce::AtMostOnce(boost::asio::io_context& loop,
                       SharedState& shared,
                       record_log::ClaimWriter* claims,
                       KeyHooks hooks)
    : loop(loop), shared(shared), claims(claims), hooks(std::move(hooks)) {}

Millis AtMostOnce::Lifetime() const {
  const std::shared_ptr<const BundleView> view = this->shared.bundle.Read();
  return view == nullptr ? policy::Bundle{}.key_lifetime
                         : view->in_force->bundle->key_lifetime;
}

std::string AtMostOnce::MacOf(const control::MintedKey& key) const {
  const std::string body = control::MintedKeyBody(key);
  return policy::ToHex(
      policy::Mac(this->shared.key, policy::Bytes(body.begin(), body.end())));
}

std::string AtMostOnce::Mint() {
  control::MintedKey key;
  key.node = NodeId(this->shared.settings.node.id);
  key.incarnation = this->shared.incarnation;
  key.sequence = ++this->minted;
  key.created_at = WallNow();
  key.mac = this->MacOf(key);
  return control::MintedKeyText(key);
}

bool AtMostOnce::IsOwnMinted(const control::MintedKey& key) const {
  return key.node.Value() == this->shared.settings.node.id &&
         key.incarnation == this->shared.incarnation &&
         key.sequence <= this->minted && key.mac == this->MacOf(key);
}

void AtMostOnce::Start(const KeyedCall& call) {
  KeyEntry* entry = control::FindKey(call.key, this->keys);
  if (entry != nullptr) {
    this->Join(call, *entry);
    return;
  }
  if (call.is_recall) {
    this->Finish(call.ticket, ErrorKind::kDuplicate);
    return;
  }
  const std::optional<control::MintedKey> minted =
      control::ParseMintedKey(call.key);
  if (minted.has_value()) {
    this->StartMinted(call, *minted);
  } else {
    this->StartClaim(call);
  }
}

/// The key is known here: repeat what it came to, wait for it, or run it if it
/// was refused before it ran.
void AtMostOnce::Join(const KeyedCall& call, KeyEntry& entry) {
  const bool is_under_way = entry.state == KeyState::kClaiming ||
                            entry.state == KeyState::kDispatched ||
                            entry.running_call != 0;
  if (is_under_way) {
    entry.waiting_calls.push_back(call.ticket.Value());
    return;
  }
  switch (entry.state) {
    case KeyState::kOwned:
      if (this->shared.is_draining.load()) {
        this->Finish(call.ticket, ErrorKind::kDraining);
      } else {
        this->Run(call.ticket, entry);
      }
      return;
    case KeyState::kDone:
      if (entry.has_answer) {
        this->hooks.finish(call.ticket, entry.answer);
        return;
      }
      break;
    default:
      break;
  }
  this->Finish(call.ticket, ErrorKind::kDuplicate);
}

void AtMostOnce::StartMinted(const KeyedCall& call,
                             const control::MintedKey& minted) {
  if (!this->IsOwnMinted(minted)) {
    this->Finish(call.ticket, ErrorKind::kDuplicate);
    return;
  }
  // Keys are forgotten only well after they expire, so one that is not known
  // and not too old was never used.
  const ErrorKind age =
      control::CheckKeyAge(minted.created_at, WallNow(), this->Lifetime());
  if (age != ErrorKind::kNone) {
    this->Finish(call.ticket, ErrorKind::kKeyExpired);
    return;
  }
  KeyEntry* entry = control::AddKey(this->limits, MonotonicNow(), call.key,
                                    KeyState::kOwned, this->keys);
  if (entry == nullptr) {
    this->Finish(call.ticket, ErrorKind::kOverloaded);
    return;
  }
  this->Run(call.ticket, *entry);
}

void AtMostOnce::StartClaim(const KeyedCall& call) {
  const std::optional<Millis> made = control::TimeOfUuid7(call.key);
  // Claims are forgotten after the lifetime that this node knows; an entry node
  // with another bundle may know a longer one.
  if (made.has_value() &&
      control::CheckKeyAge(*made, WallNow(), this->Lifetime()) !=
          ErrorKind::kNone) {
    this->Finish(call.ticket, ErrorKind::kKeyExpired);
    return;
  }
  const bool can_claim = this->claims != nullptr && made.has_value();
  if (!can_claim ||
      control::AddKey(this->limits, MonotonicNow(), call.key,
                      KeyState::kClaiming, this->keys) == nullptr) {
    this->Finish(call.ticket, ErrorKind::kLogUnavailable);
    return;
  }
  record_log::ClaimRequest request;
  request.key = IdempotencyKey(call.key);
  request.made = *made;
  request.deadline = call.deadline;
  request.done = [weak = this->weak_from_this(), &loop = this->loop,
                  ticket = call.ticket,
                  key = call.key](const record_log::ClaimResult& result) {
    boost::asio::post(loop, [weak, ticket, key, result]() {
      if (const std::shared_ptr<AtMostOnce> self = weak.lock()) {
        self->OnClaim(ticket, key, result);
      }
    });
  };
  this->claims->Claim(std::move(request));
}

void AtMostOnce::OnClaim(control::Ticket ticket,
                         const std::string& key,
                         const record_log::ClaimResult& result) {
  KeyEntry* entry = control::FindKey(key, this->keys);
  if (entry == nullptr) {
    return;
  }
  if (result.outcome == record_log::ClaimOutcome::kWon) {
    entry->state = KeyState::kOwned;
    entry->waiting_calls.insert(entry->waiting_calls.begin(), ticket.Value());
    this->RunNext(*entry);
    return;
  }
  wire::Answer answer;
  if (result.outcome == record_log::ClaimOutcome::kLost) {
    answer.error = static_cast<std::uint32_t>(ErrorKind::kDuplicate);
    answer.winner = result.holder.Value();
  } else {
    answer.error = static_cast<std::uint32_t>(ErrorKind::kLogUnavailable);
  }
  const std::vector<std::uint64_t> waiting = std::move(entry->waiting_calls);
  control::RemoveKey(key, this->keys);
  this->hooks.finish(ticket, answer);
  for (const std::uint64_t other : waiting) {
    this->hooks.finish(control::Ticket(other), answer);
  }
}

void AtMostOnce::Run(control::Ticket ticket, KeyEntry& entry) {
  entry.running_call = ticket.Value();
  this->hooks.admit(ticket);
}

/// The first call that still waits runs the key.
void AtMostOnce::RunNext(KeyEntry& entry) {
  while (!entry.waiting_calls.empty()) {
    const control::Ticket next(entry.waiting_calls.front());
    entry.waiting_calls.erase(entry.waiting_calls.begin());
    if (this->hooks.is_open(next)) {
      this->Run(next, entry);
      return;
    }
  }
}

bool AtMostOnce::TakeDispatch(const std::string& key) {
  KeyEntry* entry = control::FindKey(key, this->keys);
  return entry != nullptr && control::BeginDispatch(*entry);
}

void AtMostOnce::Settle(KeyEntry& entry, const wire::Answer& answer) {
  entry.running_call = 0;
  const std::vector<std::uint64_t> waiting = std::move(entry.waiting_calls);
  entry.waiting_calls.clear();
  for (const std::uint64_t ticket : waiting) {
    this->hooks.finish(control::Ticket(ticket), answer);
  }
}

void AtMostOnce::OnRefused(const std::string& key, const wire::Answer& answer) {
  KeyEntry* entry = control::FindKey(key, this->keys);
  if (entry != nullptr) {
    control::RevertDispatch(*entry);
    this->Settle(*entry, answer);
  }
}

void AtMostOnce::OnTargetAnswer(const std::string& key,
                                const wire::Answer& answer) {
  KeyEntry* entry = control::FindKey(key, this->keys);
  if (entry == nullptr) {
    return;
  }
  const ErrorKind kind = ErrorKindFrom(answer.error);
  if (kind == ErrorKind::kNone) {
    control::RecordAnswer(this->limits, answer, *entry, this->keys);
  } else if (AnswerFor(kind).verdict == Verdict::kNotRun) {
    control::RevertDispatch(*entry);
  } else {
    entry->state = KeyState::kUnknown;
  }
  this->Settle(*entry, answer);
}

void AtMostOnce::OnAbandoned(control::Ticket ticket, const std::string& key) {
  KeyEntry* entry = control::FindKey(key, this->keys);
  const bool was_next = entry != nullptr && entry->state == KeyState::kOwned &&
                        entry->running_call == ticket.Value();
  if (was_next) {
    entry->running_call = 0;
    this->RunNext(*entry);
  }
}

bool AtMostOnce::IsUndecided(const std::string& key) {
  const KeyEntry* entry = control::FindKey(key, this->keys);
  return entry != nullptr && entry->state == KeyState::kClaiming;
}

void AtMostOnce::Forget() {
  control::ExpireKeys(MonotonicNow(),
                      this->Lifetime() + control::kMaxClockSkew * 2,
                      this->keys);
}

void AtMostOnce::Finish(control::Ticket ticket, ErrorKind kind) {
  wire::Answer answer;
  answer.error = static_cast<std::uint32_t>(kind);
  this->hooks.finish(ticket, answer);
}

}  // namespace almondlink::daemon
