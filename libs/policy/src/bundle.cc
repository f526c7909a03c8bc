#include "almondlink/policy/bundle.h"

namespace almondlink::policy {

namespace {

/// Takes the next segment off `path`, which starts with a slash.
std::string_view TakeSegment(std::string_view& path) {
  path.remove_prefix(1);
  const std::size_t slash = path.find('/');
  const std::string_view segment = path.substr(0, slash);
  path =
      slash == std::string_view::npos ? std::string_view() : path.substr(slash);
  return segment;
}

bool IsPlaceholder(const std::string& segment) {
  return segment.size() > 2 && segment.front() == '{' && segment.back() == '}';
}

bool MatchPath(const std::vector<std::string>& pattern, std::string_view path) {
  for (const std::string& expected : pattern) {
    if (expected == "**") {
      return true;
    }
    if (path.empty() || path.front() != '/') {
      return false;
    }
    const std::string_view segment = TakeSegment(path);
    const bool is_equal =
        IsPlaceholder(expected) ? !segment.empty() : segment == expected;
    if (!is_equal) {
      return false;
    }
  }
  return path.empty();
}

}  // namespace

const ServiceSpec* Bundle::FindService(const ServiceName& name) const {
  for (const ServiceSpec& service : this->services) {
    if (service.name == name) {
      return &service;
    }
  }
  return nullptr;
}

const OperationSpec* Bundle::FindOperation(const OperationName& name) const {
  for (const OperationSpec& operation : this->operations) {
    if (operation.name == name) {
      return &operation;
    }
  }
  return nullptr;
}

const OperationSpec* Bundle::Match(const std::string& service,
                                   std::string_view method,
                                   std::string_view path) const {
  const auto found = this->by_service.find(service);
  if (found == this->by_service.end()) {
    return nullptr;
  }
  for (const std::size_t index : found->second) {
    const OperationSpec& operation = this->operations[index];
    if (operation.method == method && MatchPath(operation.segments, path)) {
      return &operation;
    }
  }
  return nullptr;
}

}  // namespace almondlink::policy
