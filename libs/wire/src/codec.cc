#include "codec.h"

namespace almondlink::wire {

namespace {

/// Deepest nesting of the schema, with a margin: message, list, struct, list.
constexpr std::size_t kMaxDepth = 8;
/// CBOR major type 4 (array) in the top three bits of the first byte.
constexpr std::uint8_t kArrayMajorType = 0x80;
constexpr std::uint8_t kMajorTypeMask = 0xe0;
/// Largest value a CBOR initial byte carries itself.
constexpr std::uint8_t kLargestDirect = 23;
constexpr std::uint8_t kArrayOneByteLength = 0x98;

/// Builds the tree but gives up on deep nesting before the stack grows.
class BoundedBuilder : public nlohmann::detail::json_sax_dom_parser<Tree> {
 public:
  explicit BoundedBuilder(Tree& root)
      : nlohmann::detail::json_sax_dom_parser<Tree>(root, false) {}

  bool start_array(std::size_t size) {
    ++this->depth;
    if (this->depth > kMaxDepth) {
      return false;
    }
    return nlohmann::detail::json_sax_dom_parser<Tree>::start_array(size);
  }
  bool end_array() {
    --this->depth;
    return nlohmann::detail::json_sax_dom_parser<Tree>::end_array();
  }
  /// The schema has no maps.
  bool start_object(std::size_t /*size*/) { return false; }

 private:
  std::size_t depth = 0;
};

}  // namespace

Bytes ToCbor(const Tree& tree) {
  return Tree::to_cbor(tree);
}

Tree FromCbor(const std::uint8_t* data, std::size_t size) {
  Tree tree;
  BoundedBuilder builder(tree);
  const bool is_parsed = Tree::sax_parse(data, data + size, &builder,
                                         Tree::input_format_t::cbor, true);
  if (!is_parsed) {
    throw DecodeError{"not valid CBOR of the schema's shape"};
  }
  return tree;
}

Tag TagOf(const Tree& tree) {
  if (!tree.is_array() || tree.empty() || !tree[0].is_number_unsigned()) {
    throw DecodeError{"a message has no tag"};
  }
  return static_cast<Tag>(tree[0].get<std::uint32_t>());
}

Result<Tag> PeekTagOf(const std::uint8_t* data, std::size_t size) {
  if (size < 2 || (data[0] & kMajorTypeMask) != kArrayMajorType) {
    return Fail(ErrorKind::kBadMessage, "a message is not an array");
  }
  const std::size_t at = data[0] == kArrayOneByteLength ? 2 : 1;
  if (at >= size || data[at] > kLargestDirect) {
    return Fail(ErrorKind::kBadMessage, "a message has no tag");
  }
  return static_cast<Tag>(data[at]);
}

}  // namespace almondlink::wire
