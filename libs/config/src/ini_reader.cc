#include "almondlink/config/ini_reader.h"

#include <cxxtools/iniparser.h>
#include <cxxtools/utf8codec.h>

#include <cerrno>
#include <cstring>
#include <fstream>
#include <sstream>

namespace almondlink::config {

namespace {

/// Collects the events of the parser. The first fault stops it.
class Collector : public cxxtools::IniParser::Event {
 public:
  explicit Collector(IniFile& file) : file(file) {}

  bool onSection(const cxxtools::String& section) override {
    const std::string name = cxxtools::Utf8Codec::encode(section);
    for (const IniSection& other : this->file.sections) {
      if (other.name == name) {
        return this->Stop("section [" + name +
                          "] stands twice, first on line " +
                          std::to_string(other.line));
      }
    }
    this->file.sections.push_back(IniSection{name, this->line, {}});
    return false;
  }

  bool onKey(const cxxtools::String& key) override {
    this->key = cxxtools::Utf8Codec::encode(key);
    this->key_line = this->line;
    if (this->file.sections.empty()) {
      return this->Stop("key '" + this->key + "' stands before any section");
    }
    const IniEntry* other = this->file.sections.back().Find(this->key);
    if (other != nullptr) {
      return this->Stop("key '" + this->key + "' stands twice, first on line " +
                        std::to_string(other->line));
    }
    return false;
  }

  bool onValue(const cxxtools::String& value) override {
    std::string text = cxxtools::Utf8Codec::encode(value);
    const std::size_t last = text.find_last_not_of(" \t\r");
    text.erase(last == std::string::npos ? 0 : last + 1);
    this->file.sections.back().entries.push_back(
        IniEntry{this->key, text, this->key_line});
    return false;
  }

  bool onError() override { return this->Stop("not valid INI"); }

  bool Stop(const std::string& what) {
    if (this->fault.empty()) {
      this->fault = what;
    }
    return true;
  }

  IniFile& file;
  int line = 1;
  int key_line = 1;
  std::string key;
  std::string fault;
};

}  // namespace

const IniEntry* IniSection::Find(const std::string& key) const {
  for (const IniEntry& entry : this->entries) {
    if (entry.key == key) {
      return &entry;
    }
  }
  return nullptr;
}

std::string AtLine(const std::string& file, int line, const std::string& text) {
  return file + ":" + std::to_string(line) + ": " + text;
}

Result<IniFile> ParseIni(const std::string& name, const std::string& text) {
  IniFile file;
  file.name = name;
  Collector collector(file);
  cxxtools::IniParser parser(collector);
  try {
    const cxxtools::String decoded = cxxtools::Utf8Codec::decode(text);
    for (const cxxtools::Char ch : decoded) {
      const bool is_stopped = parser.parse(ch);
      if (is_stopped || !collector.fault.empty()) {
        collector.Stop("not valid INI");
        break;
      }
      if (ch == cxxtools::Char('\n')) {
        ++collector.line;
      }
    }
    if (collector.fault.empty()) {
      parser.end();
    }
  } catch (const std::exception& error) {
    collector.Stop(std::string("not valid INI: ") + error.what());
  }
  if (!collector.fault.empty()) {
    return Fail(ErrorKind::kBadSettings,
                AtLine(name, collector.line, collector.fault));
  }
  return file;
}

Result<std::string> ReadFile(const std::string& path) {
  std::ifstream in(path, std::ios::binary);
  if (!in) {
    return Fail(ErrorKind::kIo, path + ": " + std::strerror(errno));
  }
  std::ostringstream text;
  text << in.rdbuf();
  return text.str();
}

}  // namespace almondlink::config
