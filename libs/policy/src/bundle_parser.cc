#include <array>
#include <set>
#include <utility>

#include "almondlink/config/ini_reader.h"
#include "almondlink/config/setting.h"
#include "almondlink/policy/bundle.h"

/// Parses bundle files. A section is `[bundle]`, or a kind and a name, such as
/// `[service lending]`. Every fault is collected, none stops the parse.
namespace almondlink::policy {

namespace {

using config::IniEntry;
using config::IniSection;

constexpr std::int64_t kMaxWeight = 1'000'000;
constexpr std::int64_t kMaxRetries = 16;
constexpr std::int64_t kMaxBurst = 1'000'000;
constexpr Millis kMaxTimeout{10 * 60 * 1000};
constexpr Millis kMaxKeyLifetime{24LL * 60 * 60 * 1000};
constexpr std::size_t kMaxName = 64;
constexpr const char* kNameCharacters = "abcdefghijklmnopqrstuvwxyz0123456789-";
constexpr std::array<const char*, 5> kMethods = {"GET", "POST", "PUT", "PATCH",
                                                 "DELETE"};

/// Reads the values of one section and notes faults with their lines.
class SectionReader {
 public:
  SectionReader(const IniSection& section, std::vector<Fault>& faults)
      : section(section), faults(faults) {}

  std::string Text(const std::string& key, bool is_required) {
    const IniEntry* entry = this->Take(key, is_required);
    return entry == nullptr ? std::string() : entry->value;
  }

  void Whole(const std::string& key,
             std::int64_t lowest,
             std::int64_t highest,
             std::int64_t& value) {
    this->Convert(key, config::ParseWhole, [&](std::int64_t parsed) {
      if (parsed < lowest || parsed > highest) {
        this->Add(key, "allowed: " + std::to_string(lowest) + " to " +
                           std::to_string(highest));
        return;
      }
      value = parsed;
    });
  }

  void Duration(const std::string& key, Millis highest, Millis& value) {
    this->Convert(key, config::ParseDuration, [&](Millis parsed) {
      if (parsed < Millis{1} || parsed > highest) {
        this->Add(key,
                  "allowed: 1ms to " + std::to_string(highest.count) + "ms");
        return;
      }
      value = parsed;
    });
  }

  void Fraction(const std::string& key, double highest, double& value) {
    this->Convert(key, config::ParseFraction, [&](double parsed) {
      if (parsed < 0 || parsed > highest) {
        this->Add(key, "allowed: 0 to " + std::to_string(highest));
        return;
      }
      value = parsed;
    });
  }

  void Bool(const std::string& key, bool& value) {
    this->Convert(key, config::ParseBool, [&](bool parsed) { value = parsed; });
  }

  /// Notes each key that nobody asked for.
  void Finish() {
    for (const IniEntry& entry : this->section.entries) {
      if (this->taken.count(entry.key) == 0) {
        std::string allowed;
        for (const std::string& key : this->taken) {
          allowed += allowed.empty() ? key : ", " + key;
        }
        this->faults.push_back(Fault{
            entry.line, "'" + entry.key + "' is not a key of [" +
                            this->section.name + "]; allowed: " + allowed});
      }
    }
  }

  void Add(const std::string& key, const std::string& text) {
    const IniEntry* entry = this->section.Find(key);
    const int line = entry == nullptr ? this->section.line : entry->line;
    this->faults.push_back(Fault{line, key + ": " + text});
  }

 private:
  const IniEntry* Take(const std::string& key, bool is_required) {
    this->taken.insert(key);
    const IniEntry* entry = this->section.Find(key);
    if (entry == nullptr && is_required) {
      this->Add(key, "required in [" + this->section.name + "]");
    }
    return entry;
  }

  template <typename Parser, typename Use>
  void Convert(const std::string& key, Parser parser, Use use) {
    const IniEntry* entry = this->Take(key, false);
    if (entry == nullptr) {
      return;
    }
    HandleFailure(
        [&]() -> Result<bool> {
          BOOST_LEAF_AUTO(value, parser(entry->value));
          use(value);
          return true;
        },
        [&](const Failure& failure) {
          this->Add(key, failure.detail);
          return false;
        });
  }

  const IniSection& section;
  std::vector<Fault>& faults;
  std::set<std::string> taken;
};

bool IsName(const std::string& name) {
  return !name.empty() && name.size() <= kMaxName &&
         name.find_first_not_of(kNameCharacters) == std::string::npos;
}

std::vector<std::string> SplitPath(const std::string& path) {
  std::vector<std::string> segments;
  std::size_t at = 1;
  while (at <= path.size()) {
    const std::size_t slash = std::min(path.find('/', at), path.size());
    segments.push_back(path.substr(at, slash - at));
    at = slash + 1;
  }
  return segments;
}

void ReadHead(const IniSection& section, ParsedBundle& parsed) {
  SectionReader reader(section, parsed.faults);
  Bundle& bundle = parsed.bundle;
  bundle.deployment = reader.Text("deployment", true);
  std::int64_t version = 0;
  std::int64_t base = 0;
  reader.Text("version", true);
  reader.Text("base", true);
  reader.Whole("version", 1, INT64_MAX, version);
  reader.Whole("base", 0, INT64_MAX, base);
  if (version != base + 1 && version != 0) {
    reader.Add("version", "must be base + 1");
  }
  bundle.version = static_cast<std::uint64_t>(version);
  bundle.base = static_cast<std::uint64_t>(base);
  const std::string discipline = reader.Text("discipline", true);
  if (discipline == "recovery") {
    bundle.discipline = Discipline::kRecovery;
  } else if (discipline != "goodput") {
    reader.Add("discipline", "allowed: goodput, recovery");
  }
  reader.Duration("key_lifetime", kMaxKeyLifetime, bundle.key_lifetime);
  bundle.accept_shed_order = reader.Text("accept_shed_order", false);
  bundle.accept_repeatable = reader.Text("accept_repeatable", false);
  reader.Finish();
}

void ReadService(const IniSection& section,
                 const std::string& name,
                 ParsedBundle& parsed) {
  SectionReader reader(section, parsed.faults);
  ServiceSpec service;
  service.name = ServiceName(name);
  service.line = section.line;
  reader.Duration("queue_target", kMaxTimeout, service.queue_target);
  reader.Duration("queue_limit", kMaxTimeout, service.queue_limit);
  if (service.queue_limit < service.queue_target) {
    reader.Add("queue_limit", "must not be below queue_target");
  }
  reader.Finish();
  parsed.bundle.services.push_back(service);
}

void ReadCriticality(SectionReader& reader, OperationSpec& operation) {
  const std::string text = reader.Text("criticality", true);
  for (std::uint32_t i = 0; i < kCriticalityCount; ++i) {
    if (text == ToString(static_cast<Criticality>(i))) {
      operation.criticality = static_cast<Criticality>(i);
      return;
    }
  }
  reader.Add("criticality", "allowed: critical, high, normal, sheddable");
}

void ReadPath(SectionReader& reader, OperationSpec& operation) {
  operation.path = reader.Text("path", true);
  const bool is_path =
      !operation.path.empty() && operation.path.front() == '/' &&
      operation.path.find_first_of("? #\t") == std::string::npos;
  if (!is_path) {
    reader.Add("path", "allowed: a path that starts with /, without query");
    return;
  }
  operation.segments = SplitPath(operation.path);
  for (std::size_t i = 0; i + 1 < operation.segments.size(); ++i) {
    if (operation.segments[i] == "**") {
      reader.Add("path", "** is allowed only at the end");
    }
  }
}

void ReadMethod(SectionReader& reader, OperationSpec& operation) {
  operation.method = reader.Text("method", true);
  for (const char* method : kMethods) {
    if (operation.method == method) {
      return;
    }
  }
  reader.Add("method", "allowed: GET, POST, PUT, PATCH, DELETE");
}

void ReadOperation(const IniSection& section,
                   const std::string& name,
                   ParsedBundle& parsed) {
  SectionReader reader(section, parsed.faults);
  OperationSpec operation;
  operation.name = OperationName(name);
  operation.line = section.line;
  operation.service = ServiceName(reader.Text("service", true));
  ReadMethod(reader, operation);
  ReadPath(reader, operation);
  operation.kind = reader.Text("kind", true);
  if (!IsName(operation.kind)) {
    reader.Add("kind", "allowed: a-z, 0-9 and -");
  }
  ReadCriticality(reader, operation);
  reader.Text("repeatable", true);
  reader.Bool("repeatable", operation.is_repeatable);
  reader.Whole("weight", 0, kMaxWeight, operation.weight);
  reader.Duration("timeout", kMaxTimeout, operation.timeout);
  std::int64_t retries = operation.retries;
  reader.Whole("retries", 0, kMaxRetries, retries);
  operation.retries = static_cast<std::uint32_t>(retries);
  reader.Finish();
  parsed.bundle.operations.push_back(operation);
}

void ReadTeam(const IniSection& section,
              const std::string& name,
              ParsedBundle& parsed) {
  SectionReader reader(section, parsed.faults);
  TeamSpec team;
  team.name = TeamName(name);
  team.line = section.line;
  reader.Fraction("retry_ratio", 1.0, team.retry_ratio);
  reader.Whole("retry_burst", 0, kMaxBurst, team.retry_burst);
  reader.Finish();
  parsed.bundle.teams[name] = team;
}

void ReadSection(const IniSection& section, ParsedBundle& parsed) {
  if (section.name == "bundle") {
    ReadHead(section, parsed);
    return;
  }
  const std::size_t space = section.name.find(' ');
  const std::string kind = section.name.substr(0, space);
  const std::string name =
      space == std::string::npos ? "" : section.name.substr(space + 1);
  if (!IsName(name)) {
    parsed.faults.push_back(
        Fault{section.line,
              "[" + section.name + "]: a name of a-z, 0-9 and - must follow"});
    return;
  }
  if (kind == "service") {
    ReadService(section, name, parsed);
  } else if (kind == "operation") {
    ReadOperation(section, name, parsed);
  } else if (kind == "team") {
    ReadTeam(section, name, parsed);
  } else {
    parsed.faults.push_back(
        Fault{section.line, "[" + section.name +
                                "]: allowed sections: bundle, service NAME, "
                                "operation NAME, team NAME"});
  }
}

/// Fills the index, most specific patterns first, and checks references.
void Link(ParsedBundle& parsed) {
  Bundle& bundle = parsed.bundle;
  std::set<std::pair<std::string, std::string>> seen;
  for (std::size_t i = 0; i < bundle.operations.size(); ++i) {
    const OperationSpec& operation = bundle.operations[i];
    if (bundle.FindService(operation.service) == nullptr) {
      parsed.faults.push_back(Fault{
          operation.line, "[operation " + operation.name.Value() +
                              "] names service '" + operation.service.Value() +
                              "', which has no section"});
    }
    const std::string where = operation.method + " " + operation.path;
    if (!seen.insert({operation.service.Value(), where}).second) {
      parsed.faults.push_back(Fault{
          operation.line, "another operation of the service has " + where});
    }
    bundle.by_service[operation.service.Value()].push_back(i);
  }
  for (const ServiceSpec& service : bundle.services) {
    bundle.by_service.try_emplace(service.name.Value());
  }
}

/// A more valued operation must not be shed before a lesser one.
void CheckShedOrder(const Bundle& bundle, std::vector<Fault>& faults) {
  if (!bundle.accept_shed_order.empty()) {
    return;
  }
  for (const OperationSpec& more : bundle.operations) {
    for (const OperationSpec& less : bundle.operations) {
      if (more.weight > less.weight && more.criticality > less.criticality) {
        faults.push_back(
            Fault{more.line,
                  "'" + more.name.Value() + "' weighs more than '" +
                      less.name.Value() +
                      "' but would be shed before it; accept_shed_order in "
                      "[bundle] may state why"});
      }
    }
  }
}

/// A bundle needs its head, an operation and a team.
void CheckPresence(ParsedBundle& parsed) {
  if (parsed.bundle.version == 0 && parsed.faults.empty()) {
    parsed.faults.push_back(Fault{1, "section [bundle] is missing"});
  }
  if (parsed.bundle.operations.empty()) {
    parsed.faults.push_back(Fault{1, "there is no operation"});
  }
  if (parsed.bundle.teams.empty()) {
    parsed.faults.push_back(Fault{1, "there is no team"});
  }
}

}  // namespace

ParsedBundle ParseBundle(const std::string& text) {
  ParsedBundle parsed;
  const bool is_ini = HandleFailure(
      [&]() -> Result<bool> {
        BOOST_LEAF_AUTO(file, config::ParseIni("bundle", text));
        for (const IniSection& section : file.sections) {
          ReadSection(section, parsed);
        }
        return true;
      },
      [&](const Failure& failure) {
        // `bundle:LINE: text` of the reader becomes a fault with its line.
        const std::size_t first = failure.detail.find(':');
        const std::size_t second = failure.detail.find(':', first + 1);
        parsed.faults.push_back(
            Fault{std::atoi(failure.detail.c_str() + first + 1),
                  failure.detail.substr(second + 2)});
        return false;
      });
  if (is_ini) {
    Link(parsed);
    CheckShedOrder(parsed.bundle, parsed.faults);
    CheckPresence(parsed);
  }
  return parsed;
}

std::vector<Fault> CheckChange(const Bundle& current, const Bundle& next) {
  std::vector<Fault> faults;
  for (const OperationSpec& operation : next.operations) {
    const OperationSpec* before = current.FindOperation(operation.name);
    if (before == nullptr) {
      continue;
    }
    const bool is_loosened = !before->is_repeatable && operation.is_repeatable;
    if (is_loosened && next.accept_repeatable.empty()) {
      faults.push_back(Fault{
          operation.line, "'" + operation.name.Value() +
                              "' was at-most-once and becomes repeatable; "
                              "accept_repeatable in [bundle] may state why"});
    }
    for (const OperationSpec& other : next.operations) {
      const OperationSpec* other_before = current.FindOperation(other.name);
      const bool is_turned = other_before != nullptr &&
                             before->criticality < other_before->criticality &&
                             operation.criticality > other.criticality;
      if (is_turned && next.accept_shed_order.empty()) {
        faults.push_back(
            Fault{operation.line,
                  "'" + operation.name.Value() + "' was shed after '" +
                      other.name.Value() +
                      "' and would be shed before it; accept_shed_order in "
                      "[bundle] may state why"});
      }
    }
  }
  return faults;
}

Result<Bundle> RequireBundle(const std::string& text) {
  ParsedBundle parsed = ParseBundle(text);
  if (!parsed.faults.empty()) {
    const Fault& fault = parsed.faults.front();
    return Fail(ErrorKind::kBadBundle,
                "line " + std::to_string(fault.line) + ": " + fault.text);
  }
  return std::move(parsed.bundle);
}

}  // namespace almondlink::policy
