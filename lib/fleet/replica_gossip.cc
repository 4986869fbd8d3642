#include "tanagervane/fleet/replica_gossip.h"

#include <algorithm>
#include <bit>
#include <cmath>

#include "gossip_bytes.h"
#include "tagged_message.h"

namespace tanagervane {

namespace {

/// First byte of each message. Differs from the layout versions of
/// GossipMessage, which are small numbers.
constexpr char kReplicaGossipTag = 'R';

constexpr int kIncarnationHashBytes = sizeof(IncarnationHash);

void AppendIncarnation(std::string& bytes, const IncarnationHash& incarnation) {
  AppendFixed(bytes, incarnation, kIncarnationHashBytes);
}

IncarnationHash ReadIncarnation(GossipReader& reader) {
  return reader.ReadFixed(kIncarnationHashBytes);
}

/// Stands for a statement that there is no limit.
constexpr double kNoLimit = -1;

void AppendRateLimit(std::string& bytes, const RateLimitReport& report) {
  AppendIncarnation(bytes, report.incarnation);
  AppendFixed(bytes,
              std::bit_cast<uint64_t>(report.per_second.value_or(kNoLimit)),
              sizeof(double));
  AppendVarint(bytes, static_cast<uint64_t>(std::ceil(report.age.count())));
}

RateLimitReport ReadRateLimit(GossipReader& reader) {
  RateLimitReport report;
  report.incarnation = ReadIncarnation(reader);
  const auto per_second =
      std::bit_cast<double>(reader.ReadFixed(sizeof(double)));
  if (per_second != kNoLimit) {
    report.per_second = per_second;
  }
  report.age = Millis(static_cast<double>(reader.ReadVarint()));
  return report;
}

bool IsValid(const RateLimitReport& report) {
  return !report.per_second ||
         (std::isfinite(*report.per_second) && *report.per_second >= 0);
}

}  // namespace

bool IsReplicaGossip(std::string_view bytes) {
  return bytes.starts_with(kReplicaGossipTag);
}

std::string EncodeReplicaGossip(const ReplicaGossip& message) {
  std::string bytes(1, kReplicaGossipTag);
  AppendString(bytes, message.sender);
  AppendItems(bytes, message.leaving, AppendIncarnation);
  AppendItems(bytes, message.rate_limits, AppendRateLimit);
  return bytes;
}

absl::StatusOr<ReplicaGossip> DecodeReplicaGossip(std::string_view bytes) {
  return DecodeTagged<ReplicaGossip>(
      bytes, IsReplicaGossip(bytes), "malformed gossip message about replicas",
      [](GossipReader& reader, ReplicaGossip& message) {
        message.leaving = ReadItems(reader, ReadIncarnation);
        message.rate_limits = ReadItems(reader, ReadRateLimit);
        return std::ranges::all_of(message.rate_limits, IsValid);
      });
}

}  // namespace tanagervane
