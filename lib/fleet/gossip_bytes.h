// Binary encoding of values in gossip: integers are varints (little-endian base
// 128) or have a fixed width, strings are prefixed with their length.

#ifndef TANAGERVANE_LIB_FLEET_GOSSIP_BYTES_H_
#define TANAGERVANE_LIB_FLEET_GOSSIP_BYTES_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace tanagervane {

void AppendVarint(std::string& bytes, uint64_t value);

/// Appends the low `width` bytes of the value, the lowest first.
void AppendFixed(std::string& bytes, uint64_t value, int width);

/// Appends at most 255 bytes of the text.
void AppendString(std::string& bytes, std::string_view text);

/// Consumes bytes from the front. A failed read clears ok() for good.
class GossipReader {
 public:
  explicit GossipReader(std::string_view bytes) : m_bytes(bytes) {}

  bool ok() const { return m_ok; }
  bool at_end() const { return m_bytes.empty(); }

  uint64_t ReadByte();
  uint64_t ReadVarint();
  uint64_t ReadFixed(int width);
  std::string ReadString();

  /// Reads the number of items that follow. Each item takes at least one byte,
  /// so a count larger than the number of remaining bytes is malformed.
  uint64_t ReadCount();

 private:
  std::string_view m_bytes;
  bool m_ok = true;
};

template <typename Item>
std::vector<Item> ReadItems(GossipReader& reader, Item (*read)(GossipReader&)) {
  std::vector<Item> items;
  for (uint64_t remaining = reader.ReadCount(); remaining > 0 && reader.ok();
       --remaining) {
    items.push_back(read(reader));
  }
  return items;
}

template <typename Item>
void AppendItems(std::string& bytes,
                 const std::vector<Item>& items,
                 void (*append)(std::string&, const Item&)) {
  AppendVarint(bytes, items.size());
  for (const Item& item : items) {
    append(bytes, item);
  }
}

}  // namespace tanagervane

#endif  // TANAGERVANE_LIB_FLEET_GOSSIP_BYTES_H_
