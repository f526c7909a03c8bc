#ifndef ALMONDLINKD_ENTRY_LOOP_IMPL_H_
#define ALMONDLINKD_ENTRY_LOOP_IMPL_H_

#include <boost/asio/io_context.hpp>
#include <memory>
#include <random>
#include <string>
#include <unordered_map>

#include "almondlink/control/caller_repeats.h"
#include "almondlink/control/downstream.h"
#include "almondlink/mesh/peer_links.h"
#include "almondlinkd/classify.h"
#include "almondlinkd/entry_call.h"
#include "almondlinkd/entry_loop.h"
#include "almondlinkd/target_views.h"

namespace almondlink::daemon {

using EntryCallPointer = std::shared_ptr<EntryCall>;

/// The calls of one entry loop, in three units: entry_loop.cc (what comes in),
/// entry_sends.cc (where it is sent, and again), entry_ends.cc (its answer).
class EntryLoop::Impl : public std::enable_shared_from_this<Impl> {
 public:
  Impl(boost::asio::io_context& loop,
       SharedState& shared,
       TraceRecorder& recorder,
       std::size_t index);

  void Handle(server::CallerRequest request,
              std::shared_ptr<server::CallerExchange> exchange);

  void Close() { this->links.Close(); }

  EntryReport Report() const;

 private:
  static mesh::PeerLinksConfig LinksConfig(const SharedState& shared);

  double Draw();

  ClassifyInput InputOf(const EntryCall& entry);

  /// Checks that need no target: the budget for early repeats, and pressure
  /// deeper in the chain.
  void Begin(const EntryCallPointer& entry);

  /// First attempts fill the team's budget, early repeats are taken from it.
  bool TakeFromBudget(const EntryCall& entry);

  /// A key that a node minted is known to that node only.
  std::string PinnedNode(const EntryCall& entry) const;

  control::RouteChoice Choose(const EntryCall& entry, ServiceViews& views);

  void Attempt(const EntryCallPointer& entry);

  void SendTo(const EntryCallPointer& entry,
              const RouteEntry& route,
              control::TargetView& view);

  void OnAnswer(const EntryCallPointer& entry, wire::Answer answer);

  /// Another node won the key: it may know the answer.
  bool Recall(const EntryCallPointer& entry, const wire::Answer& answer);

  /// Targets have ended under the request: one node may try it.
  bool GoToTrial(const EntryCallPointer& entry, const wire::Answer& answer);

  /// False if the node is beside no target of the service.
  bool SendToNode(const EntryCallPointer& entry, const std::string& node);

  void NoteDownstream(const EntryCall& entry, const wire::Answer& answer);

  void NoteDownstreamOfParent(const EntryCall& entry, std::uint32_t level);

  bool HasOtherTarget(const EntryCall& entry);

  void RetryOrFinish(const EntryCallPointer& entry,
                     ErrorKind kind,
                     wire::Answer answer);

  /// A call made within work lends from the grant that the work holds; all
  /// calls of the work share it.
  std::uint32_t LendGrant(EntryCall& entry);

  void TakeBackGrant(EntryCall& entry, std::uint32_t unspent);

  /// Takes one retry from the root request's grant and one from the team.
  bool SpendOneRetry(EntryCall& entry);

  void AttemptLater(const EntryCallPointer& entry, Millis delay);

  void FinishAnswered(const EntryCallPointer& entry, wire::Answer answer);

  void FinishError(const EntryCallPointer& entry,
                   ErrorKind kind,
                   Millis retry_after);

  /// A key whose earlier use has an unknown outcome must not be called not run
  /// because of what happened to this try.
  ErrorKind HonestKind(const EntryCall& entry, ErrorKind kind) const;

  void Finish(const EntryCallPointer& entry,
              ErrorKind kind,
              server::CallerAnswer answer);

  void Leave();

  /// Grant, metering and figures at the end of a call.
  void Account(const EntryCall& entry, ErrorKind kind, std::uint32_t status);

  /// The request was not understood. A known team is metered all the same, so
  /// that its own counts and ours agree.
  void FinishUnclassified(const EntryCall& entry, const Failure& failure);

  void OnCallerGone(const EntryCallPointer& entry);

  boost::asio::io_context& loop;
  SharedState& shared;
  mesh::PeerLinks links;
  control::CallerRepeats repeats;
  std::mt19937_64 random;
  TargetViews views;
  std::unordered_map<std::string, control::DownstreamLevel> downstream;
  CallAccounts accounts;
  std::size_t open_calls = 0;
};

}  // namespace almondlink::daemon

#endif  // ALMONDLINKD_ENTRY_LOOP_IMPL_H_
