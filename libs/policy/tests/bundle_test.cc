#include <catch2/catch.hpp>

#include "almondlink/config/ini_reader.h"
#include "almondlink/policy/bundle.h"

namespace almondlink::policy {
namespace {

std::string ReadExample(const std::string& name) {
  return HandleFailure(
      [&]() { return config::ReadFile("examples/" + name + ".bundle.ini"); },
      [](const Failure& failure) { return failure.detail; });
}

std::string Replace(std::string text,
                    const std::string& from,
                    const std::string& to) {
  const std::size_t at = text.find(from);
  REQUIRE(at != std::string::npos);
  return text.replace(at, from.size(), to);
}

bool HasFault(const std::vector<Fault>& faults, int line, const char* part) {
  for (const Fault& fault : faults) {
    if ((line == 0 || fault.line == line) &&
        fault.text.find(part) != std::string::npos) {
      return true;
    }
  }
  return false;
}

TEST_CASE("the examples are without fault") {
  REQUIRE(ParseBundle(ReadExample("bahay-lamig")).faults.empty());
  REQUIRE(ParseBundle(ReadExample("gongu-dure")).faults.empty());
}

TEST_CASE("paths match by segment") {
  const ParsedBundle parsed = ParseBundle(ReadExample("gongu-dure"));
  const Bundle& bundle = parsed.bundle;
  REQUIRE(bundle.Match("members", "GET", "/members/7")->name.Value() ==
          "member-record");
  REQUIRE(bundle.Match("members", "GET", "/members/7/history")->name.Value() ==
          "borrowing-history");
  REQUIRE(bundle.Match("members", "POST", "/members/7") == nullptr);
  REQUIRE(bundle.Match("members", "GET", "/members/") == nullptr);
  REQUIRE(bundle.Match("members", "GET", "/members/7/") == nullptr);
  REQUIRE(bundle.Match("catalogue", "GET", "/tools/saws/1/2") != nullptr);
  REQUIRE(bundle.Match("nobody", "GET", "/members/7") == nullptr);
}

TEST_CASE("every fault is named with its line") {
  const std::string text = R"([bundle]
deployment = d
version = 3
base = 1
discipline = speed
colour = red

[service a]
queue_target = 5

[operation x]
service = b
method = FETCH
path = grants
kind = k
criticality = urgent
repeatable = maybe
weight = -1

[thing y]
)";
  const ParsedBundle parsed = ParseBundle(text);
  const std::vector<Fault>& faults = parsed.faults;
  REQUIRE(HasFault(faults, 3, "base + 1"));
  REQUIRE(HasFault(faults, 5, "goodput, recovery"));
  REQUIRE(HasFault(faults, 6, "'colour' is not a key"));
  REQUIRE(HasFault(faults, 9, "ms, s, min or h"));
  REQUIRE(HasFault(faults, 13, "GET, POST"));
  REQUIRE(HasFault(faults, 14, "starts with /"));
  REQUIRE(HasFault(faults, 16, "critical, high"));
  REQUIRE(HasFault(faults, 17, "true or false"));
  REQUIRE(HasFault(faults, 18, "allowed: 0"));
  REQUIRE(HasFault(faults, 20, "allowed sections"));
  REQUIRE(HasFault(faults, 11, "names service 'b'"));
  REQUIRE(HasFault(faults, 1, "there is no team"));
}

TEST_CASE("what is not INI is a fault, not a crash") {
  for (const char* text : {"", "[", "a = b\n", "[bundle\nx=1\n",
                           "[bundle]\nversion = 1\nversion = 2\n",
                           "[bundle]\n[bundle]\n", "\xff\xfe\x01"}) {
    REQUIRE_FALSE(ParseBundle(text).faults.empty());
  }
}

TEST_CASE("a valued operation must not be shed before a lesser one") {
  const std::string text = ReadExample("gongu-dure");
  const std::string worse =
      Replace(text, "kind = checkout\ncriticality = critical",
              "kind = checkout\ncriticality = sheddable");
  REQUIRE(HasFault(ParseBundle(worse).faults, 0, "shed before it"));
  const std::string stated = Replace(
      worse, "base = 0\n",
      "base = 0\naccept_shed_order = branches closed for stock taking\n");
  REQUIRE(ParseBundle(stated).faults.empty());
}

TEST_CASE("an at-most-once operation becomes repeatable only in words") {
  const std::string text = ReadExample("bahay-lamig");
  const ParsedBundle current = ParseBundle(text);
  const std::string looser =
      Replace(text, "repeatable = false", "repeatable = true");
  const ParsedBundle next = ParseBundle(looser);
  REQUIRE(HasFault(CheckChange(current.bundle, next.bundle), 0,
                   "becomes repeatable"));
  const std::string stated =
      Replace(looser, "base = 0\n",
              "base = 0\naccept_repeatable = the ledger detects doubles now\n");
  REQUIRE(CheckChange(current.bundle, ParseBundle(stated).bundle).empty());
}

}  // namespace
}  // namespace almondlink::policy
