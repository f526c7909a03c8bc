#include "almondlinkd/node.h"

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <utility>
#include <vector>

#include "almondlink/base/event_log.h"
#include "almondlink/control/idempotency_key.h"
#include "almondlink/mesh/gossip.h"
#include "almondlink/mesh/peer_links.h"
#include "almondlink/mesh/peer_server.h"
#include "almondlink/server/admin_server.h"
#include "almondlink/server/caller_server.h"
#include "almondlinkd/admin_routes.h"
#include "almondlinkd/entry_loop.h"
#include "almondlinkd/loop.h"
#include "almondlinkd/platform_thread.h"
#include "almondlinkd/report.h"
#include "almondlinkd/shared_state.h"
#include "almondlinkd/target_side.h"
#include "almondlinkd/trace_recorder.h"

namespace almondlink::daemon {

namespace {

namespace asio = boost::asio;

/// Time in which peers and callers learn that the node leaves, while it still
/// serves what comes.
constexpr Millis kLeaveNotice{1500};
/// Time over the longest deadline that a stop waits for work in flight.
constexpr Millis kStopMargin{2000};
constexpr Millis kUsagePatience{3000};
/// A caller that leaves its answer unread for so long has lost interest.
constexpr Millis kLastConnections{2000};
constexpr Millis kPullTimeout{2000};
constexpr Millis kPoll{20};
constexpr int kExitClean = 0;
constexpr int kExitForced = 4;

}  // namespace

class Node::Impl {
 public:
  explicit Impl(const config::Settings& settings) : settings(settings) {}

  ~Impl() { this->Teardown(); }

  Result<void> Start() {
    BOOST_LEAF_AUTO(key, policy::LoadDeploymentKey(settings.mesh.key_file));
    BOOST_LEAF_AUTO(rules, MakeFoldRules(this->settings, key));
    (void)rules;
    const policy::Bytes secret = policy::RandomBytes(sizeof(std::uint64_t));
    std::uint64_t number = 0;
    std::memcpy(&number, secret.data(), sizeof(number));
    this->shared = std::make_unique<SharedState>(this->settings, key, number);
    this->shared->incarnation =
        Incarnation(static_cast<std::uint64_t>(WallNow().count));
    this->shared->routes.Replace(std::make_shared<const RoutingTable>());
    this->MakeTargetLoop(key);
    this->MakeEntryLoops();
    BOOST_LEAF_CHECK(this->peers->Listen());
    BOOST_LEAF_CHECK(this->gossip->Start());
    BOOST_LEAF_CHECK(this->callers->Listen());
    this->MakeAdmin();
    BOOST_LEAF_CHECK(this->admin->Start());
    this->target_loop.Run();
    for (const std::unique_ptr<Loop>& loop : this->entry_loops) {
      loop->Run();
    }
    this->platform->Start();
    asio::post(this->target_loop.context, [this]() { this->PullFromSeeds(); });
    LogEvent(kEventStarted,
             {{"deployment", this->settings.node.deployment},
              {"zone", this->settings.node.zone},
              {"service", this->settings.target.service},
              {"callers", this->settings.node.caller_address.Text()},
              {"peers", this->settings.node.peer_address.Text()}});
    return {};
  }

  void RequestStop() { this->is_stop_asked.store(true); }

  int RunUntilStopped() {
    while (!this->is_stop_asked.load()) {
      SleepFor(kPoll);
      FlushLog();
    }
    LogEvent(kEventStopping);
    this->BeginDraining();
    SleepFor(kLeaveNotice);
    this->callers->StopAccepting();
    const bool is_clean = this->WaitForWork();
    this->AnnounceLeft();
    const bool is_usage_kept = this->platform->Finish(kUsagePatience);
    LogEvent(kEventStopped, {{"clean", is_clean ? "true" : "false"},
                             {"usage_kept", is_usage_kept ? "true" : "false"}});
    return is_clean ? kExitClean : kExitForced;
  }

 private:
  void MakeTargetLoop(const policy::DeploymentKey& key) {
    asio::io_context& context = this->target_loop.context;
    this->MakePlatform();
    this->target = std::make_unique<TargetSide>(
        context, *this->shared, this->claims.get(), this->EndsHooksOf(),
        [this](mesh::LinkId link, wire::Answer answer) {
          this->peers->Answer(link, std::move(answer));
        });
    mesh::PeerServerConfig peer_config;
    peer_config.node = NodeId(this->settings.node.id);
    peer_config.incarnation = this->shared->incarnation;
    peer_config.address = this->settings.node.peer_address;
    peer_config.key = key;
    peer_config.max_message = static_cast<std::size_t>(
        this->settings.node.max_body + 4 * this->settings.node.max_header);
    this->peers = std::make_unique<mesh::PeerServer>(context, peer_config,
                                                     this->PeerHandlersOf());
    mesh::PeerLinksConfig links_config;
    links_config.node = peer_config.node;
    links_config.key = key;
    // State of a whole deployment may be larger than a call.
    links_config.max_message = 8 * peer_config.max_message;
    this->links = std::make_unique<mesh::PeerLinks>(context, links_config);
    this->MakeGossip(key);
  }

  EndsHooks EndsHooksOf() {
    EndsHooks hooks;
    hooks.tell = [this](const wire::EndsNews& news) {
      this->gossip->TellAll(news);
    };
    hooks.places = [this]() {
      return TrialPlaces(*this->shared->routes.Read(),
                         this->settings.target.service);
    };
    return hooks;
  }

  mesh::PeerHandlers PeerHandlersOf() {
    mesh::PeerHandlers handlers;
    handlers.on_call = [this](mesh::LinkId link, wire::Call call) {
      this->target->OnCall(link, std::move(call));
    };
    handlers.on_cancel = [this](mesh::LinkId link, const wire::Cancel& cancel) {
      this->target->OnCancel(link, cancel.id);
    };
    handlers.on_closed = [this](mesh::LinkId link) {
      this->target->OnLinkClosed(link);
    };
    handlers.on_state_pull = [this](const wire::StatePull& pull) {
      return this->MakeStatePush(pull);
    };
    return handlers;
  }

  void MakeGossip(const policy::DeploymentKey& key) {
    mesh::GossipConfig config;
    config.address = this->settings.node.peer_address;
    config.key = key;
    config.probe_interval = this->settings.mesh.probe_interval;
    config.probe_timeout = this->settings.mesh.probe_timeout;
    config.rules.suspect_timeout = this->settings.mesh.suspect_timeout;
    mesh::GossipHandlers handlers;
    handlers.on_change = [this]() {
      this->shared->routes.Replace(
          BuildRoutes(this->gossip->Members(), this->settings.node.zone));
      this->PaceClaims();
    };
    handlers.on_newer_bundle = [this](const wire::Member& peer, std::uint64_t) {
      this->PullState(peer.address, false);
    };
    handlers.on_ends = [this](const wire::EndsNews& news) {
      this->target->OnEnds(news);
    };
    this->gossip = std::make_unique<mesh::Gossip>(this->target_loop.context,
                                                  config, SelfOf(*this->shared),
                                                  std::move(handlers));
    this->shared->routes.Replace(
        BuildRoutes(this->gossip->Members(), this->settings.node.zone));
  }

  /// The nodes that claim share the deployment's appends evenly.
  void PaceClaims() {
    const std::shared_ptr<const BundleView> view = this->shared->bundle.Read();
    if (this->claims == nullptr || view == nullptr) {
      return;
    }
    this->claims->SetClaimLife(view->in_force->bundle->key_lifetime +
                               control::kMaxClockSkew * 2);
    this->claims->SetInterval(ClaimInterval(*view->in_force->bundle,
                                            *this->shared->routes.Read(),
                                            this->settings.log.claim_appends));
  }

  void MakePlatform() {
    record_log::LogClientConfig log_config;
    log_config.address = this->settings.log.address;
    log_config.timeout = this->settings.log.timeout;
    PlatformHooks hooks;
    hooks.on_members = [this](std::vector<wire::Member> members) {
      asio::post(this->target_loop.context,
                 [this, members = std::move(members)]() {
                   this->gossip->Merge(members);
                 });
    };
    hooks.on_bundle = [this](std::uint64_t offset) {
      asio::post(this->target_loop.context, [this, offset]() {
        this->gossip->SetBundleOffset(offset);
        this->PaceClaims();
      });
    };
    hooks.self = [this]() {
      return AskLoop<wire::Member>(this->target_loop.context, [this]() {
        return control::SelfMember(this->gossip->Members());
      });
    };
    hooks.usage = [this]() { return this->GatherUsage(); };
    this->platform = std::make_unique<PlatformThread>(
        *this->shared, record_log::MakeHttpLog(log_config), std::move(hooks));
    if (!this->settings.target.service.empty()) {
      record_log::ClaimWriterConfig claim_config;
      claim_config.node = NodeId(this->settings.node.id);
      claim_config.incarnation = this->shared->incarnation;
      claim_config.stream = record_log::ClaimStream(
          this->settings.node.deployment, this->settings.target.service);
      claim_config.retention = this->settings.log.retention;
      this->claims = std::make_unique<record_log::ClaimWriter>(
          claim_config, record_log::MakeHttpLog(log_config));
    }
  }

  void MakeEntryLoops() {
    std::vector<asio::io_context*> contexts;
    const auto count =
        static_cast<std::size_t>(this->settings.node.entry_threads);
    for (std::size_t i = 0; i < count; ++i) {
      this->entry_loops.push_back(std::make_unique<Loop>());
      contexts.push_back(&this->entry_loops.back()->context);
      this->entries.push_back(std::make_unique<EntryLoop>(
          *contexts.back(), *this->shared, this->recorder, i));
    }
    server::CallerServerConfig config;
    config.address = this->settings.node.caller_address;
    config.max_connections =
        static_cast<std::size_t>(this->settings.node.max_connections);
    config.max_body = static_cast<std::size_t>(this->settings.node.max_body);
    config.max_header =
        static_cast<std::size_t>(this->settings.node.max_header);
    config.idle_timeout = this->settings.node.idle_timeout;
    this->callers = std::make_unique<server::CallerServer>(
        contexts, config,
        [this](std::size_t loop, server::CallerRequest request,
               std::shared_ptr<server::CallerExchange> exchange) {
          this->entries[loop]->Handle(std::move(request), std::move(exchange));
        });
  }

  void MakeAdmin() {
    AdminActions actions;
    actions.gather = [this]() { return this->Gather(); };
    actions.drain = [this]() { this->BeginDraining(); };
    actions.resume = [this]() { this->EndDraining(); };
    actions.announce_slots = [this](std::uint32_t slots) {
      this->AnnounceSlots(slots);
    };
    this->admin = std::make_unique<server::AdminServer>(
        this->settings.node.admin_address,
        MakeAdminRoutes(*this->shared, this->recorder, actions));
  }

  void AnnounceSlots(std::uint32_t slots) {
    this->shared->slots.store(slots);
    asio::post(this->target_loop.context, [this, slots]() {
      wire::Member self = control::SelfMember(this->gossip->Members());
      self.slots = slots;
      this->gossip->Announce(self);
    });
  }

  control::UsageTable GatherUsage() {
    control::UsageTable sum;
    for (std::size_t i = 0; i < this->entries.size(); ++i) {
      control::AddUsage(
          AskLoop<control::UsageTable>(
              this->entry_loops[i]->context,
              [this, i]() { return this->entries[i]->Report().usage; }),
          sum);
    }
    return sum;
  }

  NodeReport Gather() {
    const RcuThread rcu;
    NodeReport report =
        AskLoop<NodeReport>(this->target_loop.context, [this]() {
          NodeReport part;
          part.membership = this->gossip->Members();
          part.gossip = this->gossip->Stats();
          part.peer_links_in = this->peers->LinkCount();
          part.target = this->target->Report();
          return part;
        });
    for (std::size_t i = 0; i < this->entries.size(); ++i) {
      report.entries.push_back(AskLoop<EntryReport>(
          this->entry_loops[i]->context,
          [this, i]() { return this->entries[i]->Report(); }));
    }
    report.node = this->settings.node.id;
    report.callers = this->callers->Stats();
    report.platform = this->platform->Report();
    if (this->claims != nullptr) {
      report.claims = this->claims->Stats();
    }
    AddShared(*this->shared, report);
    return report;
  }

  // ---- state from and for peers ----

  wire::StatePush MakeStatePush(const wire::StatePull& pull) {
    wire::StatePush push;
    const std::shared_ptr<const BundleView> view = this->shared->bundle.Read();
    const bool is_newer =
        view != nullptr && view->in_force->offset + 1 > pull.bundle_offset;
    if (is_newer) {
      push.bundle_offset = view->in_force->offset + 1;
      for (const policy::LogRecord& record : view->in_force->proof) {
        push.records.push_back(record.data);
        push.offsets.push_back(record.offset);
      }
    }
    if (pull.wants_members) {
      for (const auto& [node, entry] : this->gossip->Members().members) {
        push.members.push_back(entry.member);
      }
    }
    return push;
  }

  void PullState(const std::string& address, bool wants_members) {
    if (this->is_pulling) {
      return;
    }
    this->is_pulling = true;
    wire::StatePull pull;
    pull.wants_members = wants_members;
    const std::shared_ptr<const BundleView> view = this->shared->bundle.Read();
    pull.bundle_offset = view == nullptr ? 0 : view->in_force->offset + 1;
    this->links->Pull(address, pull, kPullTimeout,
                      [this](Result<wire::StatePush> result) {
                        this->is_pulling = false;
                        if (result) {
                          this->platform->AdoptFromPeer(*result);
                          this->gossip->Merge(result->members);
                        }
                      });
  }

  /// Asks seeds until there are other members and a bundle.
  void PullFromSeeds() {
    const bool is_settled = this->shared->bundle.Read() != nullptr &&
                            this->gossip->Members().members.size() > 1;
    if (is_settled || this->settings.mesh.seeds.empty()) {
      return;
    }
    const std::vector<config::Endpoint>& seeds = this->settings.mesh.seeds;
    this->PullState(seeds[this->next_seed++ % seeds.size()].Text(), true);
    this->seed_timer = std::make_unique<asio::steady_timer>(
        this->target_loop.context, std::chrono::seconds(1));
    this->seed_timer->async_wait([this](boost::system::error_code error) {
      if (!error) {
        this->PullFromSeeds();
      }
    });
  }

  // ---- stop ----

  void BeginDraining() {
    if (this->shared->is_draining.exchange(true)) {
      return;
    }
    this->callers->StartDraining();
    this->AnnounceDraining(true);
  }

  void EndDraining() {
    if (this->shared->is_draining.exchange(false)) {
      this->callers->StopDraining();
      this->AnnounceDraining(false);
    }
  }

  void AnnounceDraining(bool is_draining) {
    asio::post(this->target_loop.context, [this, is_draining]() {
      wire::Member self = control::SelfMember(this->gossip->Members());
      self.is_draining = is_draining;
      this->gossip->Announce(self);
    });
  }

  void AnnounceLeft() {
    AskLoop<bool>(this->target_loop.context, [this]() {
      wire::Member self = control::SelfMember(this->gossip->Members());
      self.state = static_cast<std::uint32_t>(control::MemberState::kLeft);
      this->gossip->Announce(self);
      return true;
    });
  }

  /// Waits until nothing is in flight; false if the longest deadline passed.
  bool WaitForWork() {
    const RcuThread rcu;
    const Millis until =
        MonotonicNow() + LongestDeadline(*this->shared) + kStopMargin;
    while (MonotonicNow() < until) {
      const std::size_t at_target =
          AskLoop<std::size_t>(this->target_loop.context,
                               [this]() { return this->target->OpenCalls(); });
      if (at_target == 0 && this->shared->calls_open.load() == 0) {
        // Requests of connections that were just opened, and last answers.
        this->callers->WaitUntilDone(kLastConnections);
        return true;
      }
      SleepFor(kPoll);
    }
    LogEvent(kEventDrainForced,
             {{"calls", std::to_string(this->shared->calls_open.load())}});
    return false;
  }

  void Teardown() {
    if (this->shared == nullptr) {
      return;
    }
    this->admin.reset();
    this->platform.reset();
    this->claims.reset();
    for (const std::unique_ptr<Loop>& loop : this->entry_loops) {
      loop->Join();
    }
    this->target_loop.Join();
  }

  const config::Settings settings;
  std::atomic<bool> is_stop_asked{false};
  std::unique_ptr<SharedState> shared;
  TraceRecorder recorder;
  // Loops before what runs on them, so that they outlive it.
  Loop target_loop;
  std::vector<std::unique_ptr<Loop>> entry_loops;
  std::unique_ptr<record_log::ClaimWriter> claims;
  std::unique_ptr<PlatformThread> platform;
  std::unique_ptr<TargetSide> target;
  std::unique_ptr<mesh::PeerServer> peers;
  std::unique_ptr<mesh::PeerLinks> links;
  std::unique_ptr<mesh::Gossip> gossip;
  std::unique_ptr<asio::steady_timer> seed_timer;
  std::vector<std::unique_ptr<EntryLoop>> entries;
  std::unique_ptr<server::CallerServer> callers;
  std::unique_ptr<server::AdminServer> admin;
  bool is_pulling = false;
  std::size_t next_seed = 0;
};

Node::Node(const config::Settings& settings)
    : impl(std::make_unique<Impl>(settings)) {}

Node::~Node() = default;

Result<void> Node::Start() {
  return this->impl->Start();
}

int Node::RunUntilStopped() {
  return this->impl->RunUntilStopped();
}

void Node::RequestStop() {
  this->impl->RequestStop();
}

}  // namespace almondlink::daemon
