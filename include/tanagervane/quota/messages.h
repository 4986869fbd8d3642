// Messages by which the VMs of the tier lend shares of limits and ask for
// permits.

#ifndef TANAGERVANE_QUOTA_MESSAGES_H_
#define TANAGERVANE_QUOTA_MESSAGES_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <variant>

#include "tanagervane/support/millis.h"

namespace tanagervane {

/// Tenants are hashed into this many slots; shares are lent by slot.
inline constexpr size_t kQuotaSlots = 64;

/// A set of slots; bit i stands for slot i.
using SlotMask = uint64_t;

/// What a VM knows of the fleet's size; see FleetCensus.
struct CensusStatement {
  /// VMs that the sender counts.
  uint64_t count = 0;
  /// A count that each VM that the sender counts is known to have reached. Only
  /// earlier releases use it.
  uint64_t floor = 0;

  bool operator==(const CensusStatement&) const = default;
};

/// Asks the receiver to lend its shares of some slots.
struct ShareRequest {
  uint64_t nonce = 0;
  SlotMask slots = 0;
  CensusStatement census;

  bool operator==(const ShareRequest&) const = default;
};

/// Answers a ShareRequest.
struct ShareGrant {
  uint64_t nonce = 0;
  /// The slots whose shares are lent.
  SlotMask slots = 0;
  /// Each lent share is 1 over this number.
  uint64_t divisor = 1;
  CensusStatement census;

  bool operator==(const ShareGrant&) const = default;
};

/// Asks for a permit for one request of a tenant.
struct PermitRequest {
  uint64_t nonce = 0;
  std::string tenant;

  bool operator==(const PermitRequest&) const = default;
};

enum class PermitResult : uint8_t {
  kGranted,
  /// The tenant has used its allowance.
  kRefused,
  /// The sender holds no share of the limit.
  kNoShare,
};

/// Answers a PermitRequest.
struct PermitReply {
  uint64_t nonce = 0;
  PermitResult result = PermitResult::kNoShare;
  /// For kRefused: time until there may be a permit.
  Millis retry_after;

  bool operator==(const PermitReply&) const = default;
};

/// Returns a permit that was not used.
struct PermitReturn {
  uint64_t nonce = 0;

  bool operator==(const PermitReturn&) const = default;
};

struct QuotaMessage {
  /// Id of the sending VM.
  std::string sender;
  std::variant<ShareRequest,
               ShareGrant,
               PermitRequest,
               PermitReply,
               PermitReturn>
      body;
};

}  // namespace tanagervane

#endif  // TANAGERVANE_QUOTA_MESSAGES_H_
