#include "test/support/metrics_text.h"

#include <algorithm>
#include <cctype>
#include <sstream>

namespace almondlink::test {

namespace {

bool IsName(const std::string& name) {
  return !name.empty() && std::isdigit(name.front()) == 0 &&
         std::all_of(name.begin(), name.end(), [](unsigned char letter) {
           return std::isalnum(letter) != 0 || letter == '_';
         });
}

/// Reads `{a="b",...}` from `place` on; false if it is malformed.
bool ReadLabels(const std::string& line, std::size_t& place, Labels& labels) {
  ++place;
  while (place < line.size() && line[place] != '}') {
    const std::size_t equals = line.find("=\"", place);
    if (equals == std::string::npos) {
      return false;
    }
    const std::string name = line.substr(place, equals - place);
    std::string value;
    place = equals + 2;
    while (place < line.size() && line[place] != '"') {
      place += line[place] == '\\' ? 1 : 0;
      value += line[place++];
    }
    if (place >= line.size() || !IsName(name) ||
        !labels.emplace(name, value).second) {
      return false;
    }
    ++place;
    if (place < line.size() && line[place] == ',') {
      ++place;
    }
  }
  return place++ < line.size();
}

/// Whether a sample's name fits the family that it stands below.
bool Fits(const std::string& name,
          const std::string& family,
          const std::string& type) {
  if (type != "histogram") {
    return name == family;
  }
  return name == family + "_bucket" || name == family + "_sum" ||
         name == family + "_count";
}

/// Series of a histogram whose classes do not grow up to its count, or nothing.
std::string FaultOfHistograms(const MetricsText& read) {
  for (const auto& [name, type] : read.types) {
    if (type != "histogram") {
      continue;
    }
    std::map<Labels, std::map<double, double>> classes;
    for (const auto& [key, value] : read.samples) {
      if (key.first == name + "_bucket") {
        Labels labels = key.second;
        const std::string bound = labels["le"];
        labels.erase("le");
        classes[labels][bound == "+Inf" ? 1e300 : std::stod(bound)] = value;
      }
    }
    for (const auto& [labels, counts] : classes) {
      double last = 0;
      for (const auto& [bound, count] : counts) {
        if (count < last) {
          return name + " shrinks";
        }
        last = count;
      }
      const auto whole = read.samples.find({name + "_count", labels});
      if (whole == read.samples.end() || whole->second != last ||
          counts.rbegin()->first < 1e300) {
        return name + " has no such count";
      }
    }
  }
  return "";
}

}  // namespace

double MetricsText::Sum(const std::string& name, const Labels& labels) const {
  double sum = 0;
  for (const auto& sample : this->samples) {
    const Labels& own = sample.first.second;
    const bool has_all =
        std::all_of(labels.begin(), labels.end(), [&own](const auto& label) {
          const auto found = own.find(label.first);
          return found != own.end() && found->second == label.second;
        });
    sum += sample.first.first == name && has_all ? sample.second : 0;
  }
  return sum;
}

MetricsText ParseMetrics(const std::string& text) {
  MetricsText read;
  std::istringstream lines(text);
  std::string line;
  std::string family;
  while (std::getline(lines, line) && read.fault.empty()) {
    std::istringstream words(line);
    std::string mark;
    std::string keyword;
    std::string name;
    if (line.rfind("# ", 0) == 0) {
      words >> mark >> keyword >> name;
      if (keyword == "TYPE") {
        family = name;
        std::string type;
        words >> type;
        const bool is_new = read.types.emplace(family, type).second;
        const bool is_known =
            type == "counter" || type == "gauge" || type == "histogram";
        read.fault = is_new && is_known && IsName(name) ? "" : line;
      } else if (keyword != "HELP") {
        read.fault = line;
      }
      continue;
    }
    std::size_t place = std::min(line.find('{'), line.find(' '));
    name = line.substr(0, place);
    Labels labels;
    bool is_good = place < line.size() && IsName(name) &&
                   Fits(name, family, read.types[family]);
    if (is_good && line[place] == '{') {
      is_good = ReadLabels(line, place, labels);
    }
    if (!is_good || place >= line.size() || line[place] != ' ') {
      read.fault = line;
      continue;
    }
    std::istringstream rest(line.substr(place));
    double value = 0;
    const bool is_number = static_cast<bool>(rest >> value) && rest.eof();
    const bool is_once =
        read.samples.emplace(std::pair(name, labels), value).second;
    const bool may_be_negative = read.types[family] == "gauge";
    if (!is_number || !is_once || (value < 0 && !may_be_negative)) {
      read.fault = line;
    }
  }
  if (read.fault.empty()) {
    read.fault = FaultOfHistograms(read);
  }
  return read;
}

}  // namespace almondlink::test
