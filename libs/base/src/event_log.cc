#include "almondlink/base/event_log.h"

#include <easylogging++.h>

#include <array>
#include <atomic>
#include <sstream>

INITIALIZE_EASYLOGGINGPP

namespace almondlink {

namespace {

struct LevelName {
  const char* name;
  Level level;
};

constexpr std::array<LevelName, 4> kLevels = {{{"debug", Level::kDebug},
                                               {"info", Level::kInfo},
                                               {"warning", Level::kWarning},
                                               {"error", Level::kError}}};

std::atomic<std::uint32_t> lowest_level{
    static_cast<std::uint32_t>(Level::kWarning)};

/// Values with spaces or quotes are quoted so that a line stays parseable.
void WriteValue(std::ostream& out, const std::string& value) {
  const bool is_plain =
      !value.empty() && value.find_first_of(" \"=\n\r\t") == std::string::npos;
  if (is_plain) {
    out << value;
    return;
  }
  out << '"';
  for (const char c : value) {
    if (c == '"' || c == '\\') {
      out << '\\';
    }
    out << (c == '\n' || c == '\r' ? ' ' : c);
  }
  out << '"';
}

}  // namespace

bool ParseLevel(const std::string& text, Level& level) {
  for (const LevelName& entry : kLevels) {
    if (text == entry.name) {
      level = entry.level;
      return true;
    }
  }
  return false;
}

void StartLogging(const std::string& node, Level lowest) {
  lowest_level = static_cast<std::uint32_t>(lowest);
  el::Configurations configuration;
  configuration.setToDefault();
  configuration.setGlobally(el::ConfigurationType::ToFile, "false");
  configuration.setGlobally(el::ConfigurationType::ToStandardOutput, "true");
  configuration.setGlobally(
      el::ConfigurationType::Format,
      "%datetime{%Y-%M-%dT%H:%m:%s.%g} %level node=" + node + " %msg");
  el::Loggers::reconfigureAllLoggers(configuration);
}

void LogEvent(const Event& event, std::initializer_list<LogField> fields) {
  if (static_cast<std::uint32_t>(event.level) < lowest_level.load()) {
    return;
  }
  std::ostringstream line;
  line << 'E' << event.number << ' ' << event.name;
  for (const LogField& field : fields) {
    line << ' ' << field.first << '=';
    WriteValue(line, field.second);
  }
  switch (event.level) {
    case Level::kDebug:
      LOG(DEBUG) << line.str();
      break;
    case Level::kInfo:
      LOG(INFO) << line.str();
      break;
    case Level::kWarning:
      LOG(WARNING) << line.str();
      break;
    case Level::kError:
      LOG(ERROR) << line.str();
      break;
  }
}

}  // namespace almondlink
