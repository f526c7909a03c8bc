#include "almondlink/base/event_log.h"

#include <easylogging++.h>
#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <cerrno>
#include <ctime>
#include <mutex>
#include <nlohmann/json.hpp>
#include <numeric>

#include "almondlink/base/log_rate.h"

INITIALIZE_EASYLOGGINGPP

namespace almondlink {

namespace {

constexpr std::array<const char*, 4> kLevelNames = {"debug", "info", "warning",
                                                    "error"};
constexpr std::array<const char*, kVolumeCount> kVolumeNames = {
    "rare", "failure", "routine", "lost", "refused", "blame"};
constexpr const char* kSinkName = "almondlink-buffer";
/// Bytes that wait for the output; beyond it lines are left out.
constexpr std::size_t kMostBuffered = 256 * 1024;
/// A pipe that polls writable takes this much without blocking.
constexpr std::size_t kWriteAtOnce = 4096;
constexpr std::int64_t kMillisPerSecond = 1000;

/// State of the process's log.
struct Log {
  std::mutex mutex;
  std::string node;
  std::string pending;
  LogRate rate;
  LogCounts counts;
  std::array<std::uint64_t, kVolumeCount> reported{};
  Millis last_report;
  Millis started;
};

Log& TheLog() {
  static Log log;
  return log;
}

std::atomic<std::uint32_t> lowest_level{
    static_cast<std::uint32_t>(Level::kWarning)};

/// Takes the lines that easylogging++ dispatches into the buffer.
class BufferSink : public el::LogDispatchCallback {
 protected:
  void handle(const el::LogDispatchData* data) override {
    Log& log = TheLog();
    const std::lock_guard<std::mutex> lock(log.mutex);
    const auto& message = data->logMessage()->message();
    if (log.pending.size() + message.size() > kMostBuffered) {
      ++log.counts.left_out;
      return;
    }
    ++log.counts.written;
    log.pending.append(message.data(), message.size());
    log.pending.push_back('\n');
  }
};

/// Quotes a text; the JSON library escapes what needs it.
void AppendQuoted(const std::string& text, std::string& out) {
  const bool is_plain = std::all_of(text.begin(), text.end(), [](char c) {
    return c >= ' ' && c <= '~' && c != '"' && c != '\\';
  });
  if (is_plain) {
    out.append("\"").append(text).append("\"");
    return;
  }
  out += nlohmann::json(text).dump(-1, ' ', true,
                                   nlohmann::json::error_handler_t::replace);
}

std::string WallTime() {
  const std::int64_t now = WallNow().count;
  const std::time_t seconds = now / kMillisPerSecond;
  std::tm parts{};
  gmtime_r(&seconds, &parts);
  std::array<char, 40> text{};
  const std::size_t size =
      std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%S", &parts);
  std::snprintf(text.data() + size, text.size() - size, ".%03dZ",
                static_cast<int>(now % kMillisPerSecond));
  return text.data();
}

std::string MakeLine(const Event& event,
                     std::initializer_list<LogField> fields) {
  const Log& log = TheLog();
  std::string line = "{\"time\":\"" + WallTime() + "\",\"up_ms\":" +
                     std::to_string((BootTimeNow() - log.started).count) +
                     ",\"node\":";
  AppendQuoted(log.node, line);
  line.append(",\"level\":\"")
      .append(kLevelNames[static_cast<std::size_t>(event.level)])
      .append("\",\"event\":")
      .append(std::to_string(event.number))
      .append(",\"name\":\"")
      .append(event.name)
      .append("\"");
  for (const LogField& field : fields) {
    line.append(",\"").append(field.first).append("\":");
    AppendQuoted(field.second, line);
  }
  line.push_back('}');
  return line;
}

void Dispatch(const Event& event, const std::string& line) {
  switch (event.level) {
    case Level::kDebug:
      LOG(DEBUG) << line;
      break;
    case Level::kInfo:
      LOG(INFO) << line;
      break;
    case Level::kWarning:
      LOG(WARNING) << line;
      break;
    case Level::kError:
      LOG(ERROR) << line;
      break;
  }
}

bool IsBelowLowest(const Event& event) {
  return static_cast<std::uint32_t>(event.level) < lowest_level.load();
}

/// Tells once a second how many lines were left out since the last time.
void ReportLeftOut(Millis now) {
  Log& log = TheLog();
  std::array<std::uint64_t, kVolumeCount> missing{};
  {
    const std::lock_guard<std::mutex> lock(log.mutex);
    if (now - log.last_report < Millis{kMillisPerSecond}) {
      return;
    }
    log.last_report = now;
    for (std::uint32_t i = 0; i < kVolumeCount; ++i) {
      missing[i] = log.rate.left_out[i] - log.reported[i];
      log.reported[i] = log.rate.left_out[i];
    }
  }
  if (std::accumulate(missing.begin(), missing.end(), std::uint64_t{0}) > 0) {
    LogEvent(kEventLinesLeftOut,
             {{kVolumeNames[0], std::to_string(missing[0])},
              {kVolumeNames[1], std::to_string(missing[1])},
              {kVolumeNames[2], std::to_string(missing[2])},
              {kVolumeNames[3], std::to_string(missing[3])},
              {kVolumeNames[4], std::to_string(missing[4])},
              {kVolumeNames[5], std::to_string(missing[5])}});
  }
}

/// Whether standard output takes bytes within `wait`.
bool IsWritable(Millis wait) {
  pollfd output{STDOUT_FILENO, POLLOUT, 0};
  return poll(&output, 1, static_cast<int>(wait.count)) == 1 &&
         (output.revents & POLLOUT) != 0;
}

/// Writes pending lines while the output takes them; each piece waits up to
/// `wait`.
void WritePending(Millis wait) {
  Log& log = TheLog();
  std::string lines;
  {
    const std::lock_guard<std::mutex> lock(log.mutex);
    lines.swap(log.pending);
  }
  std::size_t written = 0;
  while (written < lines.size() && IsWritable(wait)) {
    const std::size_t size = std::min(kWriteAtOnce, lines.size() - written);
    const ssize_t done = write(STDOUT_FILENO, lines.data() + written, size);
    if (done < 0 && errno != EINTR) {
      // Nobody reads the log any more; the lines have no other place to go.
      return;
    }
    written += done > 0 ? static_cast<std::size_t>(done) : 0;
  }
  if (written < lines.size()) {
    const std::lock_guard<std::mutex> lock(log.mutex);
    log.pending.insert(0, lines, written, std::string::npos);
  }
}

}  // namespace

bool ParseLevel(const std::string& text, Level& level) {
  for (std::size_t i = 0; i < kLevelNames.size(); ++i) {
    if (text == kLevelNames[i]) {
      level = static_cast<Level>(i);
      return true;
    }
  }
  return false;
}

void StartLogging(const std::string& node, Level lowest) {
  lowest_level = static_cast<std::uint32_t>(lowest);
  Log& log = TheLog();
  log.node = node;
  log.started = BootTimeNow();
  log.rate.refilled = log.started;
  el::Configurations configuration;
  configuration.setToDefault();
  configuration.setGlobally(el::ConfigurationType::ToFile, "false");
  configuration.setGlobally(el::ConfigurationType::ToStandardOutput, "false");
  configuration.setGlobally(el::ConfigurationType::Format, "%msg");
  el::Loggers::reconfigureAllLoggers(configuration);
  el::Helpers::uninstallLogDispatchCallback<
      el::base::DefaultLogDispatchCallback>("DefaultLogDispatchCallback");
  el::Helpers::installLogDispatchCallback<BufferSink>(kSinkName);
}

bool WouldLog(const Event& event) {
  if (IsBelowLowest(event)) {
    return false;
  }
  Log& log = TheLog();
  const std::lock_guard<std::mutex> lock(log.mutex);
  return HasLine(BootTimeNow(), event.volume, log.rate);
}

void LogEvent(const Event& event, std::initializer_list<LogField> fields) {
  if (IsBelowLowest(event)) {
    return;
  }
  Log& log = TheLog();
  {
    const std::lock_guard<std::mutex> lock(log.mutex);
    if (!TakeLine(BootTimeNow(), event.volume, log.rate)) {
      return;
    }
  }
  Dispatch(event, MakeLine(event, fields));
}

void FlushLog() {
  ReportLeftOut(BootTimeNow());
  WritePending(Millis{0});
}

void FinishLog(Millis longest) {
  ReportLeftOut(BootTimeNow());
  WritePending(longest);
}

LogCounts CountLogLines() {
  Log& log = TheLog();
  const std::lock_guard<std::mutex> lock(log.mutex);
  LogCounts counts = log.counts;
  for (const std::uint64_t left_out : log.rate.left_out) {
    counts.left_out += left_out;
  }
  return counts;
}

}  // namespace almondlink
