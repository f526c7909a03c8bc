#ifndef ALMONDLINK_WIRE_SRC_CODEC_H_
#define ALMONDLINK_WIRE_SRC_CODEC_H_

#include <cstdint>
#include <limits>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>
#include <vector>

#include "almondlink/base/error.h"
#include "almondlink/wire/messages.generated.h"

/// Helpers that the generated code is written against. A message is one CBOR
/// array: its tag, then its fields in the order of the schema. Fields are only
/// ever added at the end, so an older node ignores what it does not know and a
/// newer one takes defaults. Bodies are byte strings that are moved into and
/// out of the tree, never copied element by element.
namespace almondlink::wire {

using Tree = nlohmann::json;
using Bytes = std::vector<std::uint8_t>;

/// Thrown inside the codec only; DecodeAs turns it into kBadMessage.
struct DecodeError {
  const char* what;
};

inline Tree Build(std::uint32_t value) {
  return value;
}
inline Tree Build(std::uint64_t value) {
  return value;
}
inline Tree Build(std::int64_t value) {
  return value;
}
inline Tree Build(double value) {
  return value;
}
inline Tree Build(bool value) {
  return value;
}
inline Tree Build(std::string value) {
  // Header values and paths may be any octets; CBOR text must be UTF-8, so
  // strings travel as byte strings.
  return Tree::binary(Bytes(value.begin(), value.end()));
}
inline Tree Build(Bytes value) {
  return Tree::binary(std::move(value));
}

template <typename T>
Tree Build(std::vector<T> values) {
  Tree tree = Tree::array();
  for (T& value : values) {
    tree.push_back(Build(std::move(value)));
  }
  return tree;
}

/// Walks the fields of one message.
struct Cursor {
  Cursor(Tree& tree_in, std::size_t first) : tree(tree_in), next(first) {
    if (!tree_in.is_array()) {
      throw DecodeError{"a message is not an array"};
    }
  }
  Tree& tree;
  std::size_t next;
};

template <typename Number>
void ReadUnsigned(Tree& tree, Number& value) {
  if (!tree.is_number_unsigned()) {
    throw DecodeError{"a number is missing"};
  }
  const auto number = tree.get<std::uint64_t>();
  if (number > std::numeric_limits<Number>::max()) {
    throw DecodeError{"a number is out of range"};
  }
  value = static_cast<Number>(number);
}

inline void Read(Tree& tree, std::uint32_t& value) {
  ReadUnsigned(tree, value);
}
inline void Read(Tree& tree, std::uint64_t& value) {
  ReadUnsigned(tree, value);
}
inline void Read(Tree& tree, std::int64_t& value) {
  const bool fits = tree.is_number_integer() &&
                    !(tree.is_number_unsigned() &&
                      tree.get<std::uint64_t>() >
                          static_cast<std::uint64_t>(
                              std::numeric_limits<std::int64_t>::max()));
  if (!fits) {
    throw DecodeError{"a number is missing or out of range"};
  }
  value = tree.get<std::int64_t>();
}
inline void Read(Tree& tree, double& value) {
  if (!tree.is_number()) {
    throw DecodeError{"a number is missing"};
  }
  value = tree.get<double>();
}
inline void Read(Tree& tree, bool& value) {
  if (!tree.is_boolean()) {
    throw DecodeError{"a boolean is missing"};
  }
  value = tree.get<bool>();
}
inline void Read(Tree& tree, Bytes& value) {
  if (!tree.is_binary()) {
    throw DecodeError{"a byte string is missing"};
  }
  value = std::move(static_cast<Bytes&>(tree.get_binary()));
}
inline void Read(Tree& tree, std::string& value) {
  if (!tree.is_binary()) {
    throw DecodeError{"a byte string is missing"};
  }
  const Bytes& bytes = tree.get_binary();
  value.assign(bytes.begin(), bytes.end());
}

template <typename T>
void Read(Tree& tree, std::vector<T>& values) {
  if (!tree.is_array()) {
    throw DecodeError{"a list is missing"};
  }
  values.clear();
  values.reserve(tree.size());
  for (Tree& element : tree) {
    T value{};
    Read(element, value);
    values.push_back(std::move(value));
  }
}

/// Reads the next field, or leaves its default when the sender is older.
template <typename T>
void ReadNext(Cursor& cursor, T& value) {
  if (cursor.next >= cursor.tree.size()) {
    return;
  }
  Read(cursor.tree[cursor.next], value);
  ++cursor.next;
}

/// CBOR of `tree`.
Bytes ToCbor(const Tree& tree);
/// Parses with limits on depth; throws DecodeError.
Tree FromCbor(const std::uint8_t* data, std::size_t size);
/// Tag of an encoded message.
Result<Tag> PeekTagOf(const std::uint8_t* data, std::size_t size);
/// Tag of a parsed message; throws DecodeError.
Tag TagOf(const Tree& tree);

template <typename Message>
Result<Message> DecodeAs(const std::uint8_t* data, std::size_t size, Tag tag) {
  try {
    Tree tree = FromCbor(data, size);
    if (TagOf(tree) != tag) {
      throw DecodeError{"another message was expected"};
    }
    Message message;
    Read(tree, message);
    return message;
  } catch (const DecodeError& error) {
    return Fail(ErrorKind::kBadMessage, error.what);
  } catch (const std::exception& error) {
    return Fail(ErrorKind::kBadMessage, error.what());
  }
}

}  // namespace almondlink::wire

#endif  // ALMONDLINK_WIRE_SRC_CODEC_H_
