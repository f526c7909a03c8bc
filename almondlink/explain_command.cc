#include <gflags/gflags.h>

#include <algorithm>
#include <array>
#include <fstream>
#include <iostream>
#include <map>
#include <nlohmann/json.hpp>
#include <set>

#include "almondlink/base/event_log.h"
#include "almondlink/command.h"
#include "almondlink/config/load_settings.h"

DEFINE_string(logs, "", "explain: first log file; more may follow");

namespace almondlink::tool {

namespace {

using Json = nlohmann::ordered_json;

/// One line of a node's log.
struct Line {
  std::string time;
  std::string node;
  std::uint32_t event = 0;
  std::string request;
  std::string parent;
  Json fields;
};

/// What was read from the files.
struct Collected {
  std::vector<Line> lines;
  std::size_t other_lines = 0;
  std::uint64_t left_out = 0;
};

constexpr std::array<std::uint32_t, 8> kDeciding = {
    kEventRefusedAtEntry.number,   kEventNotRun.number,
    kEventUnknownKey.number,       kEventOverQuota.number,
    kEventOutcomeUnknown.number,   kEventAttemptFailed.number,
    kEventTargetCallFailed.number, kEventCallerLeft.number};
/// What a node knew when it decided.
constexpr std::array<std::uint32_t, 7> kBeliefs = {
    kEventShareChanged.number, kEventInstance.number,
    kEventStoreLost.number,    kEventTargetSetAside.number,
    kEventLinkLost.number,     kEventPolicyTaken.number,
    kEventLinkSilent.number};

template <std::size_t Size>
bool IsOneOf(const std::array<std::uint32_t, Size>& events,
             std::uint32_t event) {
  return std::find(events.begin(), events.end(), event) != events.end();
}

/// Lines may have something before the object, such as a collector's own time.
void ReadLine(const std::string& text, Collected& collected) {
  const std::size_t start = text.find('{');
  const Json json = start == std::string::npos
                        ? Json()
                        : Json::parse(text.substr(start), nullptr, false);
  if (!json.is_object() || !json.contains("event") ||
      !json["event"].is_number_unsigned()) {
    collected.other_lines += text.empty() ? 0 : 1;
    return;
  }
  Line line;
  line.time = json.value("time", "");
  line.node = json.value("node", "");
  line.event = json["event"].get<std::uint32_t>();
  line.request = json.value("request", "");
  line.parent = json.value("parent", "");
  line.fields = json;
  if (line.event == kEventLinesLeftOut.number) {
    collected.left_out += std::stoull(json.value("failure", "0"));
  }
  collected.lines.push_back(std::move(line));
}

Result<void> ReadFile(const std::string& path, Collected& collected) {
  std::ifstream file(path);
  if (!file) {
    return Fail(ErrorKind::kIo, path + ": cannot be read");
  }
  std::string text;
  while (std::getline(file, text)) {
    ReadLine(text, collected);
  }
  return {};
}

/// The request, the requests that it was made for, and the calls made for it,
/// with their depth below the first of them.
std::map<std::string, int> FamilyOf(const std::string& id,
                                    const std::vector<Line>& lines) {
  std::map<std::string, std::string> parents;
  for (const Line& line : lines) {
    if (!line.parent.empty()) {
      parents[line.request] = line.parent;
    }
  }
  std::vector<std::string> up = {id};
  while (parents.count(up.back()) != 0 && up.size() < parents.size() + 1) {
    up.push_back(parents[up.back()]);
  }
  std::map<std::string, int> family;
  for (std::size_t i = 0; i < up.size(); ++i) {
    family[up[i]] = static_cast<int>(up.size() - 1 - i);
  }
  bool has_grown = true;
  while (has_grown) {
    has_grown = false;
    for (const auto& [child, parent] : parents) {
      const auto known = family.find(parent);
      const bool is_below =
          known != family.end() && known->second >= family[id];
      if (is_below && family.count(child) == 0) {
        family[child] = known->second + 1;
        has_grown = true;
      }
    }
  }
  return family;
}

void Print(const Line& line, int depth, const char* mark) {
  std::cout << mark << ' ' << line.time << ' '
            << std::string(static_cast<std::size_t>(depth) * 2, ' ')
            << line.node << " E" << line.event << ' '
            << line.fields.value("name", "");
  static const std::set<std::string> kShown = {"time", "node",  "event",
                                               "name", "level", "up_ms"};
  for (const auto& [key, value] : line.fields.items()) {
    if (kShown.count(key) == 0) {
      std::cout << ' ' << key << '='
                << (value.is_string() ? value.get<std::string>()
                                      : value.dump());
    }
  }
  std::cout << '\n';
}

/// The line that decided: of the deepest requests the first that failed, since
/// what is above failed because of it.
const Line* DecidingOf(const std::vector<const Line*>& path,
                       const std::map<std::string, int>& family) {
  const Line* deciding = nullptr;
  for (const Line* line : path) {
    if (!IsOneOf(kDeciding, line->event)) {
      continue;
    }
    if (deciding == nullptr ||
        family.at(line->request) > family.at(deciding->request)) {
      deciding = line;
    }
  }
  return deciding;
}

/// The last change of each belief on that node before the line.
void PrintBeliefs(const Line& deciding, const std::vector<Line>& lines) {
  std::map<std::uint32_t, const Line*> last;
  for (const Line& line : lines) {
    if (line.node == deciding.node && line.time <= deciding.time &&
        IsOneOf(kBeliefs, line.event)) {
      last[line.event] = &line;
    }
  }
  if (!last.empty()) {
    std::cout << "what " << deciding.node << " last learned before it:\n";
  }
  for (const auto& [event, line] : last) {
    Print(*line, 0, "  ");
  }
}

Result<int> Explain(const Arguments& words) {
  std::vector<std::string> files(words.begin() + (words.empty() ? 0 : 1),
                                 words.end());
  if (!FLAGS_logs.empty()) {
    files.insert(files.begin(), FLAGS_logs);
  }
  if (words.empty() || files.empty()) {
    return Fail(ErrorKind::kBadSettings,
                "explain: give a request's id and --logs FILE ...");
  }
  Collected collected;
  for (const std::string& file : files) {
    BOOST_LEAF_CHECK(ReadFile(file, collected));
  }
  std::stable_sort(
      collected.lines.begin(), collected.lines.end(),
      [](const Line& a, const Line& b) { return a.time < b.time; });
  const std::map<std::string, int> family =
      FamilyOf(words.front(), collected.lines);
  std::vector<const Line*> path;
  for (const Line& line : collected.lines) {
    if (!line.request.empty() && family.count(line.request) != 0) {
      path.push_back(&line);
    }
  }
  if (path.empty()) {
    std::cerr << "no line names " << words.front() << " ("
              << collected.lines.size() << " lines read, " << collected.left_out
              << " on failures were left out by rate)\n";
    return kExitFaults;
  }
  const Line* deciding = DecidingOf(path, family);
  for (const Line* line : path) {
    Print(*line, family.at(line->request), line == deciding ? "=>" : "  ");
  }
  if (deciding != nullptr) {
    PrintBeliefs(*deciding, collected.lines);
  }
  if (collected.other_lines > 0) {
    std::cerr << collected.other_lines << " lines were not of a node's log\n";
  }
  return kExitOk;
}

Result<int> Check(const Arguments& files) {
  if (files.empty()) {
    return Fail(ErrorKind::kBadSettings, "check: give a settings file");
  }
  int code = kExitOk;
  for (const std::string& file : files) {
    HandleFailure(
        [&]() -> Result<int> {
          BOOST_LEAF_CHECK(config::LoadSettings(file));
          std::cout << file << ": ok\n";
          return 0;
        },
        [&](const Failure& failure) {
          std::cerr << failure.detail << "\n";
          code = kExitFaults;
          return 0;
        });
  }
  return code;
}

}  // namespace

std::vector<Command> ExplainCommands() {
  return {
      {"explain", "ID --logs FILE ...",
       "Prints what the logs of all nodes tell of a request and of the calls "
       "made for it, in order, with the line that decided its end marked =>.",
       Explain},
      {"check", "FILE ...",
       "Checks settings files of nodes, such as a template's output, and names "
       "file, line and key of each fault.",
       Check}};
}

}  // namespace almondlink::tool
