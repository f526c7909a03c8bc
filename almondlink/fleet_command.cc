#include <gflags/gflags.h>

#include <cstdio>
#include <fstream>
#include <map>
#include <sstream>
#include <string>
#include <vector>

#include "almondlink/command.h"
#include "almondlink/config/ini_reader.h"
#include "almondlink/model/fleet.h"

DEFINE_string(sizes,
              "100,300,1000,2000",
              "fleet: numbers of nodes, separated by commas");
DEFINE_int32(zones, 5, "fleet: availability zones");
DEFINE_string(scheme, "sums", "fleet: sums or direct");
DEFINE_string(fault,
              "none",
              "fleet: none, killed-aggregator, silent-aggregator, killed-half "
              "or silent-zone");
DEFINE_int32(fleet_seeds, 3, "fleet: seeds of each size");
DEFINE_bool(json, false, "fleet: print JSON lines in place of a table");
DEFINE_string(growth,
              "",
              "fleet: file for a gnuplot script that draws the growth as SVG");

namespace almondlink::tool {

namespace {

using model::FleetFault;
using model::FleetFigures;
using model::FleetPlan;
using model::FleetScheme;

constexpr std::uint32_t kMaxNodes = 20'000;
constexpr std::int32_t kMaxSeeds = 100;

const std::map<std::string, FleetScheme> kSchemes = {
    {"sums", FleetScheme::kSums},
    {"direct", FleetScheme::kDirect},
};

const std::map<std::string, FleetFault> kFaults = {
    {"none", FleetFault::kNone},
    {"killed-aggregator", FleetFault::kKilledAggregator},
    {"silent-aggregator", FleetFault::kSilentAggregator},
    {"killed-half", FleetFault::kKilledHalf},
    {"silent-zone", FleetFault::kSilentZone},
};

/// One size and seed with its figures.
struct Row {
  FleetPlan plan;
  FleetFigures figures;
};

Result<std::vector<std::uint32_t>> ParseSizes(const std::string& text) {
  std::vector<std::uint32_t> sizes;
  std::istringstream words(text);
  std::string word;
  while (std::getline(words, word, ',')) {
    const bool is_number =
        !word.empty() && word.size() <= 6 &&
        word.find_first_not_of("0123456789") == std::string::npos;
    const unsigned long size = is_number ? std::stoul(word) : 0;
    if (size < 2 || size > kMaxNodes) {
      return Fail(ErrorKind::kBadSettings, "--sizes: \"" + word +
                                               "\" is not a number from 2 to " +
                                               std::to_string(kMaxNodes));
    }
    sizes.push_back(static_cast<std::uint32_t>(size));
  }
  if (sizes.empty()) {
    return Fail(ErrorKind::kBadSettings, "--sizes: no size is given");
  }
  return sizes;
}

template <typename Value>
Result<Value> FindName(const std::map<std::string, Value>& names,
                       const std::string& name,
                       const char* flag) {
  const auto found = names.find(name);
  if (found == names.end()) {
    return Fail(ErrorKind::kBadSettings,
                std::string(flag) + ": \"" + name + "\" is not known");
  }
  return found->second;
}

Result<std::vector<Row>> PlayAll() {
  BOOST_LEAF_AUTO(sizes, ParseSizes(FLAGS_sizes));
  BOOST_LEAF_AUTO(scheme, FindName(kSchemes, FLAGS_scheme, "--scheme"));
  BOOST_LEAF_AUTO(fault, FindName(kFaults, FLAGS_fault, "--fault"));
  if (FLAGS_zones < 1 || FLAGS_fleet_seeds < 1 ||
      FLAGS_fleet_seeds > kMaxSeeds) {
    return Fail(ErrorKind::kBadSettings,
                "--zones must be at least 1, --fleet_seeds 1 to " +
                    std::to_string(kMaxSeeds));
  }
  std::vector<Row> rows;
  for (const std::uint32_t size : sizes) {
    for (std::int32_t seed = 1; seed <= FLAGS_fleet_seeds; ++seed) {
      Row row;
      row.plan.nodes = size;
      row.plan.zones = static_cast<std::uint32_t>(FLAGS_zones);
      row.plan.scheme = scheme;
      row.plan.fault = fault;
      row.plan.seed = static_cast<std::uint32_t>(seed);
      row.figures = model::PlayFleet(row.plan);
      rows.push_back(row);
    }
  }
  return rows;
}

void PrintTable(const std::vector<Row>& rows) {
  std::printf("%6s %5s %9s %9s %9s %9s %11s %6s %6s %7s %9s\n", "nodes", "seed",
              "msg/s", "busiest", "kB/s", "busiest", "zones kB/s", "aggr.",
              "links", "age ms", "repair ms");
  for (const Row& row : rows) {
    const FleetFigures& f = row.figures;
    std::printf("%6u %5u %9.1f %9.1f %9.2f %9.2f %11.1f %6u %6u %7.0f %9.0f\n",
                row.plan.nodes, row.plan.seed, f.messages_per_s,
                f.messages_per_s_busiest, f.bytes_per_s / 1000,
                f.bytes_per_s_busiest / 1000, f.zone_bytes_per_s / 1000,
                f.aggregators, f.links, f.mean_age_ms, f.repaired_after_ms);
  }
}

void PrintJson(const std::vector<Row>& rows) {
  for (const Row& row : rows) {
    const FleetFigures& f = row.figures;
    std::printf(
        "{\"nodes\":%u,\"zones\":%u,\"seed\":%u,\"scheme\":\"%s\","
        "\"fault\":\"%s\",\"messages_per_s\":%.1f,"
        "\"messages_per_s_busiest\":%.1f,\"bytes_per_s\":%.0f,"
        "\"bytes_per_s_busiest\":%.0f,\"zone_bytes_per_s\":%.0f,"
        "\"aggregators\":%u,\"links\":%u,\"mean_age_ms\":%.0f,"
        "\"repaired_after_ms\":%.0f}\n",
        row.plan.nodes, row.plan.zones, row.plan.seed, FLAGS_scheme.c_str(),
        FLAGS_fault.c_str(), f.messages_per_s, f.messages_per_s_busiest,
        f.bytes_per_s, f.bytes_per_s_busiest, f.zone_bytes_per_s, f.aggregators,
        f.links, f.mean_age_ms, f.repaired_after_ms);
  }
}

/// Writes a gnuplot script with its data.
Result<void> WriteGrowth(const std::string& path,
                         const std::vector<Row>& rows) {
  std::ofstream out(path);
  out << "set terminal svg size 800,600\nset output '" << path
      << ".svg'\nset logscale xy\nset xlabel 'nodes'\nset ylabel 'messages a "
         "second and node'\nset key left\n$rows << EOD\n";
  for (const Row& row : rows) {
    out << row.plan.nodes << " " << row.figures.messages_per_s << " "
        << row.figures.messages_per_s_busiest << "\n";
  }
  out << "EOD\nplot $rows using 1:2 title 'in the middle', $rows using 1:3 "
         "title 'busiest'\n";
  out.flush();
  if (!out) {
    return Fail(ErrorKind::kIo, "cannot write " + path);
  }
  return {};
}

Result<int> PlayFleets(const Arguments& arguments) {
  if (!arguments.empty()) {
    return Fail(ErrorKind::kBadSettings,
                "fleet takes no word: \"" + arguments.front() + "\"");
  }
  BOOST_LEAF_AUTO(rows, PlayAll());
  if (FLAGS_json) {
    PrintJson(rows);
  } else {
    PrintTable(rows);
  }
  if (!FLAGS_growth.empty()) {
    BOOST_LEAF_CHECK(WriteGrowth(FLAGS_growth, rows));
  }
  return kExitOk;
}

}  // namespace

std::vector<Command> FleetCommands() {
  return {{"fleet",
           "[--sizes N,N,...] [--zones N] [--scheme sums|direct] [--fault "
           "FAULT] [--fleet_seeds N] [--json] [--growth FILE]",
           "Plays fleets of several sizes in virtual time: messages and bytes "
           "that\n"
           "a node sends and receives about loads, age of what it knows, and "
           "how\n"
           "long the sums are wrong after a fault. `gnuplot FILE` draws the "
           "growth.",
           PlayFleets}};
}

}  // namespace almondlink::tool
