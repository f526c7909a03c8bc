#ifndef ALMONDLINK_CONFIG_INI_READER_H_
#define ALMONDLINK_CONFIG_INI_READER_H_

#include <string>
#include <vector>

#include "almondlink/base/error.h"

namespace almondlink::config {

/// One `key = value` with the line it stands on.
struct IniEntry {
  std::string key;
  std::string value;
  int line = 0;
};

/// One `[section]` with its entries in file order.
struct IniSection {
  std::string name;
  int line = 0;
  std::vector<IniEntry> entries;

  /// The entry of that key, or null. Valid as long as the section.
  const IniEntry* Find(const std::string& key) const;
};

/// A parsed INI text. Sections keep their order; names are unique.
struct IniFile {
  std::string name;
  std::vector<IniSection> sections;
};

/// Parses `text` with cxxtools::IniParser, one character at a time so that
/// every fault has its line. `name` stands in front of messages.
/// Errors: kBadSettings for syntax, duplicate sections and duplicate keys.
/// Thread safe.
Result<IniFile> ParseIni(const std::string& name, const std::string& text);

/// Reads a whole file. Errors: kIo.
Result<std::string> ReadFile(const std::string& path);

/// `file:line: text`, the form of every message about a file.
std::string AtLine(const std::string& file, int line, const std::string& text);

}  // namespace almondlink::config

#endif  // ALMONDLINK_CONFIG_INI_READER_H_
