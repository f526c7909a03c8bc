#include <catch2/catch.hpp>
#include <random>

#include "almondlink/control/downstream.h"
#include "almondlink/control/pressure.h"
#include "almondlink/control/routing.h"

namespace almondlink::control {
namespace {

std::vector<TargetView> Six() {
  std::vector<TargetView> views(6);
  for (std::size_t i = 0; i < views.size(); ++i) {
    views[i].is_own_zone = i < 2;
    views[i].slots = 10;
    views[i].latency = 10;
  }
  return views;
}

/// Share of choices that fall on the own zone.
double OwnShare(const std::vector<TargetView>& views, Millis now) {
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

TEST_CASE("the own zone is preferred until it costs goodput") {
  std::vector<TargetView> views = Six();
  REQUIRE(OwnShare(views, Millis{5000}) == 1.0);
  views[0].utilization = 1000;
  views[1].utilization = 1000;
  views[0].in_flight = 10;
  views[1].in_flight = 10;
  REQUIRE(OwnShare(views, Millis{5000}) == 0.0);
}

TEST_CASE("a lost zone is left and draining targets get nothing") {
  std::vector<TargetView> views = Six();
  views[0].is_draining = true;
  views[1].is_suspect = true;
  REQUIRE(OwnShare(views, Millis{5000}) == 0.0);
  for (TargetView& view : views) {
    view.is_draining = true;
  }
  const RouteChoice choice =
      ChooseTarget(views, Millis{5000}, ShedRank(1), RoutingDraws{});
  REQUIRE_FALSE(choice.index.has_value());
  REQUIRE(choice.none.kind == ErrorKind::kNoTarget);
}

TEST_CASE("suspects are used when nothing else is left") {
  std::vector<TargetView> views = Six();
  for (TargetView& view : views) {
    view.is_suspect = true;
  }
  REQUIRE(ChooseTarget(views, Millis{5000}, ShedRank(1), RoutingDraws{})
              .index.has_value());
}

TEST_CASE("a rank that every target sheds is refused at entry") {
  std::vector<TargetView> views = Six();
  for (TargetView& view : views) {
    view.level = 600;
    view.level_time = Millis{5000};
  }
  const RouteChoice shed =
      ChooseTarget(views, Millis{5000}, ShedRank(900), RoutingDraws{});
  REQUIRE(shed.none.kind == ErrorKind::kOverloaded);
  REQUIRE(shed.none.level == 600);
  REQUIRE(ChooseTarget(views, Millis{5000}, ShedRank(100), RoutingDraws{})
              .index.has_value());
  // A level that nobody renews is forgotten.
  REQUIRE(ChooseTarget(views, Millis{6000}, ShedRank(900), RoutingDraws{})
              .index.has_value());
}

TEST_CASE("an outlier is set aside, tried by one request, and taken back") {
  TargetHealth health;
  bool is_aside = false;
  for (int i = 0; i < 5; ++i) {
    is_aside = RecordOutcome(HealthRules(), Millis{100}, true, 0, health);
  }
  REQUIRE(is_aside);
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

TEST_CASE("when most targets fail none is set aside") {
  std::vector<TargetView> views = Six();
  for (std::size_t i = 0; i < 4; ++i) {
    views[i].health.state = HealthState::kEjected;
    views[i].health.ejected_until = Millis{9000};
  }
  REQUIRE(OwnShare(views, Millis{5000}) == 1.0);
}

TEST_CASE("pressure deeper in the chain sheds the same ranks at entry") {
  DownstreamLevel downstream;
  NoteDownstreamLevel(Millis{0}, 512, downstream);
  REQUIRE(IsShedDownstream(Millis{0}, ShedRank(600), downstream));
  REQUIRE_FALSE(IsShedDownstream(Millis{0}, ShedRank(500), downstream));
  // It falls while nobody renews it.
  REQUIRE_FALSE(IsShedDownstream(Millis{500}, ShedRank(600), downstream));
  REQUIRE_FALSE(IsShedDownstream(kLevelLife, ShedRank(1023), downstream));
}

}  // namespace
}  // namespace almondlink::control
