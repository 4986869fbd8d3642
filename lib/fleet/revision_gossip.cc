#include "tanagervane/fleet/revision_gossip.h"

#include <cmath>

#include "gossip_bytes.h"
#include "tanagervane/support/error.h"

namespace tanagervane {

namespace {

/// First byte of each message. Differs from the layout versions of
/// GossipMessage, which are small numbers, and from the tag of ReplicaGossip.
constexpr char kRevisionGossipTag = 'V';

void AppendReport(std::string& bytes, const RevisionReport& report) {
  AppendVarint(bytes, report.revision);
  // Rounded down: a change must not seem older than it is, or a replica would
  // be retired before its registration could return.
  AppendVarint(bytes, static_cast<uint64_t>(std::floor(report.age.count())));
}

RevisionReport ReadReport(GossipReader& reader) {
  RevisionReport report;
  report.revision = reader.ReadVarint();
  report.age = Millis(static_cast<double>(reader.ReadVarint()));
  return report;
}

}  // namespace

bool IsRevisionGossip(std::string_view bytes) {
  return bytes.starts_with(kRevisionGossipTag);
}

std::string EncodeRevisionGossip(const RevisionGossip& message) {
  std::string bytes(1, kRevisionGossipTag);
  AppendString(bytes, message.sender);
  AppendItems(bytes, message.config, AppendReport);
  AppendItems(bytes, message.replicas, AppendReport);
  return bytes;
}

absl::StatusOr<RevisionGossip> DecodeRevisionGossip(std::string_view bytes) {
  GossipReader reader(bytes);
  const bool is_tagged = IsRevisionGossip(bytes);
  reader.ReadByte();
  RevisionGossip message;
  message.sender = reader.ReadString();
  message.config = ReadItems(reader, ReadReport);
  message.replicas = ReadItems(reader, ReadReport);
  if (!is_tagged || !reader.ok() || !reader.at_end()) {
    return MakeError(ErrorCode::kInvalidRequest,
                     "malformed gossip message about revisions",
                     message.sender);
  }
  return message;
}

}  // namespace tanagervane
