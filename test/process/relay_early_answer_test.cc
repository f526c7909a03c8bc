#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <string>

#include "test/support/relay_cluster.h"

/// Guards against a part of an answer that a caller gets as the whole: a target
/// answers a long upload before it has read it, without a length, and its
/// connection is reset while the answer is on its way. At both nodes, for
/// answers that are passed on when complete and for those passed on in parts.
namespace almondlink::test {
namespace {

using standins::FakeInstance;
using standins::InstanceFault;
using standins::PlainAnswer;

/// More than the sockets hold while the target does not read.
constexpr std::size_t kUpload = 12 * 1024 * 1024;
constexpr int kFront = 0;
constexpr int kBesideTarget = 1;
const std::vector<RouteSpec> kRoutes = {
    {"upload", "files.example", "/upload/", "files", "unsafe", 6000}};

struct Uploads {
  RelayCluster cluster;

  Uploads(int port, const std::string& name, int answer_size)
      : cluster(port, name) {
    this->cluster.Add(Spec("i-front", "front"));
    FakeInstance::Spec spec = Spec("i-files", "files");
    spec.body_size = answer_size;
    this->cluster.Add(spec);
    nlohmann::json config = nlohmann::json::parse(MakeConfig(1, kRoutes));
    config["limits"]["maxBodyBytes"] = 2 * kUpload;
    this->cluster.Store().Put("keyed.op", "config", config.dump());
    this->cluster.WaitReady();
  }
  FakeInstance& Target() { return this->cluster.Instance(kBesideTarget); }
  PlainAnswer Send(int node, const std::string& id) {
    return this->cluster.Call(node, "files.example", "/upload/1", id, "POST",
                              std::string(kUpload, 'u'), 6000);
  }
};

void CheckEarlyAnswers(int port, const std::string& name, int answer_size) {
  Uploads uploads(port, name, answer_size);
  for (const int node : {kFront, kBesideTarget}) {
    INFO("node " << node);
    uploads.Target().SetFault(InstanceFault::kResetEarlyAnswer);
    for (int i = 0; i < 3; ++i) {
      const std::string id =
          "reset" + std::to_string(node) + "-" + std::to_string(i);
      const PlainAnswer answer = uploads.Send(node, id);
      CHECK(answer.status != 200);
      // The request ran, so nothing may be promised.
      CHECK(answer.status != 503);
      CHECK(uploads.Target().RunsOf(id) == 1);
    }
    uploads.Target().SetFault(InstanceFault::kSlowEarlyAnswer);
    const PlainAnswer slow = uploads.Send(node, "slow" + std::to_string(node));
    CHECK(slow.status == 200);
    CHECK(slow.body.size() == static_cast<std::size_t>(answer_size));
    uploads.Target().SetFault(InstanceFault::kNone);
    const PlainAnswer after =
        uploads.Send(node, "after" + std::to_string(node));
    CHECK(after.status == 200);
    CHECK(after.body.size() == static_cast<std::size_t>(answer_size));
  }
}

TEST_CASE("an early answer that is passed on when complete") {
  CheckEarlyAnswers(31640, "early-short", 40'000);
}

TEST_CASE("an early answer that is passed on in parts") {
  CheckEarlyAnswers(31680, "early-long", 1'400'000);
}

}  // namespace
}  // namespace almondlink::test
