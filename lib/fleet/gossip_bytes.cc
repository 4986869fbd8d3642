#include "gossip_bytes.h"

#include <algorithm>

namespace tanagervane {

namespace {

constexpr unsigned kBitsPerByte = 8;
constexpr unsigned kVarintGroupBits = 7;
constexpr unsigned kContinuationBit = 1U << kVarintGroupBits;
constexpr unsigned kMaxVarintShift = 63;
constexpr size_t kMaxStringBytes = 255;

}  // namespace

void AppendVarint(std::string& bytes, uint64_t value) {
  while (value >= kContinuationBit) {
    bytes += static_cast<char>((value % kContinuationBit) | kContinuationBit);
    value >>= kVarintGroupBits;
  }
  bytes += static_cast<char>(value);
}

void AppendFixed(std::string& bytes, uint64_t value, int width) {
  for (int i = 0; i < width; ++i) {
    bytes += static_cast<char>(value);
    value >>= kBitsPerByte;
  }
}

void AppendString(std::string& bytes, std::string_view text) {
  text = text.substr(0, kMaxStringBytes);
  AppendVarint(bytes, text.size());
  bytes += text;
}

uint64_t GossipReader::ReadByte() {
  if (m_bytes.empty()) {
    m_ok = false;
    return 0;
  }
  const auto byte = static_cast<unsigned char>(m_bytes.front());
  m_bytes.remove_prefix(1);
  return byte;
}

uint64_t GossipReader::ReadVarint() {
  uint64_t value = 0;
  for (unsigned shift = 0; shift <= kMaxVarintShift;
       shift += kVarintGroupBits) {
    const uint64_t group = ReadByte();
    value |= (group % kContinuationBit) << shift;
    if (group < kContinuationBit) {
      return value;
    }
  }
  m_ok = false;
  return 0;
}

uint64_t GossipReader::ReadFixed(int width) {
  uint64_t value = 0;
  for (int i = 0; i < width; ++i) {
    value |= ReadByte() << (kBitsPerByte * static_cast<unsigned>(i));
  }
  return value;
}

std::string GossipReader::ReadString() {
  const uint64_t size = ReadVarint();
  if (size > std::min<uint64_t>(kMaxStringBytes, m_bytes.size())) {
    m_ok = false;
    return {};
  }
  std::string text(m_bytes.substr(0, size));
  m_bytes.remove_prefix(size);
  return text;
}

uint64_t GossipReader::ReadCount() {
  const uint64_t count = ReadVarint();
  if (count > m_bytes.size()) {
    m_ok = false;
    return 0;
  }
  return count;
}

}  // namespace tanagervane
