#include "almondlink/config/load_settings.h"

#include <set>
#include <utility>

#include "almondlink/config/ini_reader.h"

namespace almondlink::config {

namespace {

const IniSection* FindSection(const IniFile& file, const std::string& name) {
  for (const IniSection& section : file.sections) {
    if (section.name == name) {
      return &section;
    }
  }
  return nullptr;
}

std::string Place(const Setting& setting) {
  return std::string("[") + setting.section + "] " + setting.key + ": ";
}

std::string KnownKeys(const std::vector<Setting>& table,
                      const std::string& section) {
  std::string keys;
  for (const Setting& setting : table) {
    if (section == setting.section) {
      keys += keys.empty() ? setting.key : std::string(", ") + setting.key;
    }
  }
  return keys;
}

std::string KnownSections(const std::vector<Setting>& table) {
  std::string names;
  for (const Setting& setting : table) {
    if (names.find(setting.section) == std::string::npos) {
      names +=
          names.empty() ? setting.section : std::string(", ") + setting.section;
    }
  }
  return names;
}

/// Refuses sections and keys that the schema does not have.
Result<void> CheckKnown(const IniFile& file,
                        const std::vector<Setting>& table) {
  std::set<std::pair<std::string, std::string>> known;
  std::set<std::string> sections;
  for (const Setting& setting : table) {
    known.insert({setting.section, setting.key});
    sections.insert(setting.section);
  }
  for (const IniSection& section : file.sections) {
    if (sections.count(section.name) == 0) {
      return Fail(ErrorKind::kBadSettings,
                  AtLine(file.name, section.line,
                         "[" + section.name + "] is not a section; allowed: " +
                             KnownSections(table)));
    }
    for (const IniEntry& entry : section.entries) {
      if (known.count({section.name, entry.key}) == 0) {
        return Fail(ErrorKind::kBadSettings,
                    AtLine(file.name, entry.line,
                           "[" + section.name + "] " + entry.key +
                               ": not a key; allowed: " +
                               KnownKeys(table, section.name)));
      }
    }
  }
  return {};
}

/// Stores one value, or its default, and adds the place to a fault.
Result<void> StoreOne(const IniFile& file, const Setting& setting) {
  const IniSection* section = FindSection(file, setting.section);
  const IniEntry* entry =
      section == nullptr ? nullptr : section->Find(setting.key);
  if (entry == nullptr && !setting.default_text.has_value()) {
    const int line = section == nullptr ? 1 : section->line;
    return Fail(ErrorKind::kBadSettings,
                AtLine(file.name, line, Place(setting) + "required"));
  }
  const std::string text =
      entry == nullptr ? *setting.default_text : entry->value;
  const int line = entry == nullptr ? 0 : entry->line;
  const std::string fault = HandleFailure(
      [&]() -> Result<std::string> {
        BOOST_LEAF_CHECK(StoreSetting(setting, text));
        return std::string();
      },
      [](const Failure& failure) { return failure.detail; });
  if (!fault.empty()) {
    return Fail(ErrorKind::kBadSettings,
                AtLine(file.name, line, Place(setting) + fault));
  }
  return {};
}

Result<void> CheckRelay(const IniFile& file, const Settings& settings) {
  if (!settings.target.address.IsSet() ||
      !settings.relay.report_address.IsSet()) {
    return Fail(ErrorKind::kBadSettings,
                file.name +
                    ": [relay] enabled: needs [target] service and address and "
                    "[relay] report_address");
  }
  return {};
}

Result<void> CheckTogether(const IniFile& file, const Settings& settings) {
  if (!settings.node.admin_address.IsLoopback() &&
      !settings.node.admin_public) {
    return Fail(ErrorKind::kBadSettings,
                file.name +
                    ": [node] admin_address: not a loopback address; allowed "
                    "only with admin_public = true");
  }
  if (settings.target.service.empty() == settings.target.address.IsSet()) {
    return Fail(
        ErrorKind::kBadSettings,
        file.name + ": [target] service and address: give both or neither");
  }
  if (settings.relay.enabled) {
    return CheckRelay(file, settings);
  }
  const bool has_key = !settings.mesh.key_file.empty();
  if (!has_key || settings.bundle.operators.empty()) {
    return Fail(ErrorKind::kBadSettings,
                file.name + (has_key ? ": [bundle] operators: required"
                                     : ": [mesh] key_file: required"));
  }
  if (settings.bundle.operators.size() <
      static_cast<std::size_t>(settings.bundle.signatures)) {
    return Fail(ErrorKind::kBadSettings,
                file.name + ": [bundle] signatures: more than operators");
  }
  return {};
}

}  // namespace

Result<Settings> ParseSettings(const std::string& name,
                               const std::string& text) {
  BOOST_LEAF_AUTO(file, ParseIni(name, text));
  Settings settings;
  const std::vector<Setting> table = SettingsTable(settings);
  BOOST_LEAF_CHECK(CheckKnown(file, table));
  for (const Setting& setting : table) {
    BOOST_LEAF_CHECK(StoreOne(file, setting));
  }
  BOOST_LEAF_CHECK(CheckTogether(file, settings));
  return settings;
}

Result<Settings> LoadSettings(const std::string& path) {
  BOOST_LEAF_AUTO(text, ReadFile(path));
  return ParseSettings(path, text);
}

}  // namespace almondlink::config
