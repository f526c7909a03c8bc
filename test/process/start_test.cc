#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>

#include "test/support/process.h"

/// Starts that must fail, and how the programs say so.
namespace almondlink::test {
namespace {

std::string Program(const std::string& path) {
  return std::string(ALMONDLINK_BUILD_DIR) + "/" + path;
}

/// Writes settings and starts a node with them; the exit code.
int StartWith(const std::string& text, std::string& output) {
  const std::string folder = Program("test-run/start");
  std::filesystem::create_directories(folder);
  std::ofstream(folder + "/node.ini") << text;
  return RunCommand(
      {Program("almondlinkd/almondlinkd"), "--config=" + folder + "/node.ini"},
      output);
}

const char* const kSettings = R"([node]
id = n1
deployment = d
zone = z
caller_address = 127.0.0.1:23290
peer_address = 127.0.0.1:23291
admin_address = 127.0.0.1:23292
[mesh]
key_file = no-such-file
[log]
address = 127.0.0.1:23293
[bundle]
operators = aa bb
)";

TEST_CASE("bad settings end the start with exit code 2 and one line") {
  std::string output;
  REQUIRE(StartWith(std::string(kSettings) + "[nodes]\nid = x\n", output) == 2);
  REQUIRE(
      output.find(
          "node.ini:14: [nodes] is not a section; allowed: node, "
          "target, mesh, log, bundle, metering, relay, decisions, logging\n") !=
      std::string::npos);
  REQUIRE(std::count(output.begin(), output.end(), '\n') == 1);
  output.clear();
  REQUIRE(RunCommand({Program("almondlinkd/almondlinkd")}, output) == 2);
  output.clear();
  REQUIRE(StartWith("", output) == 2);
}

TEST_CASE("a missing key file is told before any port opens") {
  std::string output;
  REQUIRE(StartWith(kSettings, output) == 3);
  REQUIRE(output.find("no-such-file: No such file") != std::string::npos);
}

TEST_CASE("the tool explains itself and refuses what it does not know") {
  std::string output;
  REQUIRE(RunCommand({Program("almondlink/almondlink"), "help"}, output) == 0);
  for (const char* name :
       {"bundle check", "bundle propose", "bundle sign", "bundle release",
        "bundle show", "bundle history", "nodes", "dump", "usage", "replay"}) {
    REQUIRE(output.find(std::string("  ") + name + " ") != std::string::npos);
    std::string help;
    std::string group(name);
    const std::size_t space = group.find(' ');
    std::vector<std::string> words = {Program("almondlink/almondlink"), "help",
                                      group.substr(0, space)};
    if (space != std::string::npos) {
      words.push_back(group.substr(space + 1));
    }
    REQUIRE(RunCommand(words, help) == 0);
    REQUIRE(help.find(std::string("almondlink ") + name) == 0);
  }
  REQUIRE(RunCommand({Program("almondlink/almondlink"), "bundel"}, output) ==
          2);
  REQUIRE(RunCommand({Program("almondlink/almondlink"), "usage"}, output) == 2);
  output.clear();
  REQUIRE(RunCommand({Program("almondlink/almondlink"), "bundle", "check",
                      "examples/gongu-dure.bundle.ini"},
                     output) == 0);
  output.clear();
  REQUIRE(RunCommand({Program("almondlink/almondlink"), "bundle", "check",
                      "test/golden/1-answered.session"},
                     output) == 1);
  REQUIRE(output.find("test/golden/1-answered.session:") == 0);
}

}  // namespace
}  // namespace almondlink::test
