#include <catch2/catch.hpp>
#include <random>

#include "almondlink/control/downstream.h"
#include "almondlink/control/pressure.h"
#include "almondlink/control/routing.h"

namespace almondlink::control {
namespace {

std::vector<TargetView> SixTargets() {
  std::vector<TargetView> views(6);
  for (std::size_t i = 0; i < views.size(); ++i) {
    views[i].is_own_zone = i < 2;
    views[i].slots = 10;
    views[i].latency = 10;
  }
  return views;
}

/// Fraction of the choices that fall on the own zone.
double OwnZoneShare(const std::vector<TargetView>& views, Millis now) {
  std::mt19937_64 random(7);
  std::uniform_real_distribution<double> draw(0, 1);
  int own = 0;
  for (int i = 0; i < 1000; ++i) {
    const RouteChoice choice =
        ChooseTarget(views, now, ShedRank(10),
                     {draw(random), draw(random), draw(random), draw(random)});
    own += choice.index.has_value() && views[*choice.index].is_own_zone ? 1 : 0;
  }
  return own / 1000.0;
}

TEST_CASE("the own zone is preferred until it is overloaded") {
  std::vector<TargetView> views = SixTargets();
  REQUIRE(OwnZoneShare(views, Millis{5000}) == 1.0);
  views[0].utilization = 1000;
  views[1].utilization = 1000;
  views[0].in_flight = 10;
  views[1].in_flight = 10;
  REQUIRE(OwnZoneShare(views, Millis{5000}) == 0.0);
}

TEST_CASE("suspected and draining targets get no requests") {
  std::vector<TargetView> views = SixTargets();
  views[0].is_draining = true;
  views[1].is_suspect = true;
  REQUIRE(OwnZoneShare(views, Millis{5000}) == 0.0);
  for (TargetView& view : views) {
    view.is_draining = true;
  }
  const RouteChoice choice =
      ChooseTarget(views, Millis{5000}, ShedRank(1), RoutingDraws{});
  REQUIRE_FALSE(choice.index.has_value());
  REQUIRE(choice.no_route.kind == ErrorKind::kNoTarget);
}

TEST_CASE("suspects are used when nothing else is left") {
  std::vector<TargetView> views = SixTargets();
  for (TargetView& view : views) {
    view.is_suspect = true;
  }
  REQUIRE(ChooseTarget(views, Millis{5000}, ShedRank(1), RoutingDraws{})
              .index.has_value());
}

TEST_CASE("a rank that every target sheds is refused at the entry node") {
  std::vector<TargetView> views = SixTargets();
  for (TargetView& view : views) {
    view.level = 600;
    view.level_received_at = Millis{5000};
  }
  const RouteChoice shed =
      ChooseTarget(views, Millis{5000}, ShedRank(900), RoutingDraws{});
  REQUIRE(shed.no_route.kind == ErrorKind::kOverloaded);
  REQUIRE(shed.no_route.level == 600);
  REQUIRE(ChooseTarget(views, Millis{5000}, ShedRank(100), RoutingDraws{})
              .index.has_value());
  // A level that is not refreshed expires.
  REQUIRE(ChooseTarget(views, Millis{6000}, ShedRank(900), RoutingDraws{})
              .index.has_value());
}

TEST_CASE(
    "an outlier is ejected, tried by one request at a time, and restored") {
  TargetHealth health;
  bool is_ejected = false;
  for (int i = 0; i < 5; ++i) {
    is_ejected = RecordOutcome(HealthRules(), Millis{100}, true, 0, health);
  }
  REQUIRE(is_ejected);
  REQUIRE_FALSE(MayUse(Millis{200}, health));
  REQUIRE(MayUse(Millis{700}, health));
  RecordSent(Millis{700}, health);
  REQUIRE_FALSE(MayUse(Millis{710}, health));
  RecordOutcome(HealthRules(), Millis{720}, false, 0, health);
  REQUIRE(MayUse(Millis{730}, health));
  RecordSent(Millis{730}, health);
  RecordOutcome(HealthRules(), Millis{740}, false, 0, health);
  RecordOutcome(HealthRules(), Millis{750}, false, 0, health);
  REQUIRE(health.state == HealthState::kHealthy);
}

TEST_CASE("a failed trial doubles the wait") {
  TargetHealth health;
  for (int i = 0; i < 5; ++i) {
    RecordOutcome(HealthRules(), Millis{0}, true, 0, health);
  }
  RecordSent(Millis{500}, health);
  REQUIRE(RecordOutcome(HealthRules(), Millis{500}, true, 0, health));
  REQUIRE_FALSE(MayUse(Millis{1400}, health));
  REQUIRE(MayUse(Millis{1500}, health));
}

TEST_CASE("no target is ejected when most fail") {
  std::vector<TargetView> views = SixTargets();
  for (std::size_t i = 0; i < 4; ++i) {
    views[i].health.state = HealthState::kEjected;
    views[i].health.ejected_until = Millis{9000};
  }
  REQUIRE(OwnZoneShare(views, Millis{5000}) == 1.0);
}

TEST_CASE(
    "pressure further down the chain sheds the same ranks at the entry node") {
  DownstreamLevel downstream;
  RecordDownstreamLevel(Millis{0}, 512, downstream);
  REQUIRE(IsShedDownstream(Millis{0}, ShedRank(600), downstream));
  REQUIRE_FALSE(IsShedDownstream(Millis{0}, ShedRank(500), downstream));
  // The level decays unless it is refreshed.
  REQUIRE_FALSE(IsShedDownstream(Millis{500}, ShedRank(600), downstream));
  REQUIRE_FALSE(IsShedDownstream(kLevelLifetime, ShedRank(1023), downstream));
}

}  // namespace
}  // namespace almondlink::control
