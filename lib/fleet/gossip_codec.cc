// Binary encoding of gossip: integers are varints (little-endian base 128),
// strings are prefixed with their length.

#include "tanagervane/fleet/gossip_codec.h"

#include <algorithm>
#include <utility>

#include "tanagervane/support/error.h"

namespace tanagervane {

namespace {

/// First byte of each message. Increment it when the layout changes: VMs reject
/// messages of another layout version.
constexpr char kLayoutVersion = 2;

constexpr unsigned kVarintGroupBits = 7;
constexpr unsigned kContinuationBit = 1U << kVarintGroupBits;
constexpr unsigned kMaxVarintShift = 63;

constexpr int kDigestKeyBytes = kDigestKeyBits / 8;
constexpr size_t kMaxStringBytes = 255;

/// A record's flags: the state in the low bits and one flag above it.
constexpr uint64_t kStateMask = 3;
constexpr uint64_t kStoreReachableFlag = 4;

void AppendVarint(std::string& bytes, uint64_t value) {
  while (value >= kContinuationBit) {
    bytes += static_cast<char>((value % kContinuationBit) | kContinuationBit);
    value >>= kVarintGroupBits;
  }
  bytes += static_cast<char>(value);
}

void AppendString(std::string& bytes, std::string_view text) {
  text = text.substr(0, kMaxStringBytes);
  AppendVarint(bytes, text.size());
  bytes += text;
}

void AppendPeer(std::string& bytes, const PeerRecord& peer) {
  AppendString(bytes, peer.id);
  AppendVarint(bytes, peer.incarnation);
  AppendVarint(bytes, peer.heartbeat);
  AppendVarint(bytes, static_cast<uint64_t>(peer.state) |
                          (peer.store_reachable ? kStoreReachableFlag : 0));
  AppendString(bytes, peer.caller_address);
  AppendString(bytes, peer.peer_address);
  AppendString(bytes, peer.data_centre);
  AppendVarint(bytes, peer.document_revision);
}

void AppendDigest(std::string& bytes, const PeerDigest& digest) {
  for (int i = 0; i < kDigestKeyBytes; ++i) {
    bytes += static_cast<char>(digest.key >> (8 * i));
  }
  AppendVarint(bytes, digest.heartbeat);
}

void AppendQuarantine(std::string& bytes, const QuarantineRecord& record) {
  AppendVarint(bytes, record.fingerprint);
  AppendVarint(bytes, static_cast<uint64_t>(std::max(0.0, record.age.count())));
  AppendVarint(bytes, record.lost_replicas.size());
  for (const ReplicaId& replica : record.lost_replicas) {
    AppendString(bytes, replica);
  }
}

/// Consumes bytes from the front. A failed read clears ok() for good.
class Reader {
 public:
  explicit Reader(std::string_view bytes) : m_bytes(bytes) {}

  bool ok() const { return m_ok; }
  bool at_end() const { return m_bytes.empty(); }

  uint64_t ReadVarint() {
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

  std::string ReadString() {
    const uint64_t size = ReadVarint();
    if (size > std::min<uint64_t>(kMaxStringBytes, m_bytes.size())) {
      m_ok = false;
      return {};
    }
    std::string text(m_bytes.substr(0, size));
    m_bytes.remove_prefix(size);
    return text;
  }

  uint64_t ReadByte() {
    if (m_bytes.empty()) {
      m_ok = false;
      return 0;
    }
    const auto byte = static_cast<unsigned char>(m_bytes.front());
    m_bytes.remove_prefix(1);
    return byte;
  }

  /// Reads the number of items that follow. Each item takes at least one byte,
  /// so a count larger than the number of remaining bytes is malformed.
  uint64_t ReadCount() {
    const uint64_t count = ReadVarint();
    if (count > m_bytes.size()) {
      m_ok = false;
      return 0;
    }
    return count;
  }

 private:
  std::string_view m_bytes;
  bool m_ok = true;
};

PeerRecord ReadPeer(Reader& reader) {
  PeerRecord peer;
  peer.id = reader.ReadString();
  peer.incarnation = reader.ReadVarint();
  peer.heartbeat = reader.ReadVarint();
  const uint64_t flags = reader.ReadVarint();
  peer.state = static_cast<PeerState>(
      std::min(flags & kStateMask, static_cast<uint64_t>(PeerState::kLeaving)));
  peer.store_reachable = (flags & kStoreReachableFlag) != 0;
  peer.caller_address = reader.ReadString();
  peer.peer_address = reader.ReadString();
  peer.data_centre = reader.ReadString();
  peer.document_revision = reader.ReadVarint();
  return peer;
}

PeerDigest ReadDigest(Reader& reader) {
  PeerDigest digest;
  for (int i = 0; i < kDigestKeyBytes; ++i) {
    digest.key |= reader.ReadByte() << (8 * i);
  }
  digest.heartbeat = reader.ReadVarint();
  return digest;
}

QuarantineRecord ReadQuarantine(Reader& reader) {
  QuarantineRecord record;
  record.fingerprint = reader.ReadVarint();
  record.age = Millis(static_cast<double>(reader.ReadVarint()));
  for (uint64_t remaining = reader.ReadCount(); remaining > 0 && reader.ok();
       --remaining) {
    record.lost_replicas.push_back(reader.ReadString());
  }
  return record;
}

template <typename Item>
std::vector<Item> ReadItems(Reader& reader, Item (*read)(Reader&)) {
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

}  // namespace

std::string EncodeGossip(const GossipMessage& message) {
  std::string bytes(1, kLayoutVersion);
  AppendString(bytes, message.sender);
  AppendVarint(bytes, message.config_revision);
  AppendVarint(bytes, message.replica_revision);
  AppendVarint(bytes, message.known_peers);
  AppendItems(bytes, message.peers, AppendPeer);
  AppendItems(bytes, message.digests, AppendDigest);
  AppendItems(bytes, message.quarantine, AppendQuarantine);
  return bytes;
}

absl::StatusOr<GossipMessage> DecodeGossip(std::string_view bytes) {
  Reader reader(bytes);
  if (reader.ReadByte() != static_cast<uint64_t>(kLayoutVersion)) {
    return MakeError(ErrorCode::kInvalidRequest,
                     "unsupported layout version of a gossip message",
                     "version");
  }
  GossipMessage message;
  message.sender = reader.ReadString();
  message.config_revision = reader.ReadVarint();
  message.replica_revision = reader.ReadVarint();
  message.known_peers = reader.ReadVarint();
  message.peers = ReadItems(reader, ReadPeer);
  message.digests = ReadItems(reader, ReadDigest);
  message.quarantine = ReadItems(reader, ReadQuarantine);
  if (!reader.ok() || !reader.at_end()) {
    return MakeError(ErrorCode::kInvalidRequest, "malformed gossip message",
                     message.sender);
  }
  return message;
}

}  // namespace tanagervane
