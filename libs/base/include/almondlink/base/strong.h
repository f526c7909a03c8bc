#ifndef ALMONDLINK_BASE_STRONG_H_
#define ALMONDLINK_BASE_STRONG_H_

#include <functional>
#include <ostream>
#include <utility>

namespace almondlink {

/// A value of type T that cannot be mixed up with another kind of value.
/// Immutable after construction except by assignment; as thread safe as T.
template <typename Tag, typename T>
class Strong {
 public:
  using ValueType = T;

  Strong() = default;
  explicit Strong(T initial) : value(std::move(initial)) {}

  /// The plain value.
  const T& Value() const { return this->value; }

  friend bool operator==(const Strong& a, const Strong& b) {
    return a.value == b.value;
  }
  friend bool operator!=(const Strong& a, const Strong& b) {
    return a.value != b.value;
  }
  friend bool operator<(const Strong& a, const Strong& b) {
    return a.value < b.value;
  }
  friend std::ostream& operator<<(std::ostream& out, const Strong& a) {
    return out << a.value;
  }

 private:
  T value{};
};

}  // namespace almondlink

namespace std {
template <typename Tag, typename T>
struct hash<almondlink::Strong<Tag, T>> {
  size_t operator()(const almondlink::Strong<Tag, T>& a) const {
    return hash<T>()(a.Value());
  }
};
}  // namespace std

#endif  // ALMONDLINK_BASE_STRONG_H_
