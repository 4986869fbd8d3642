// Encoding of the messages about shares and permits of the fleet's limits.

#ifndef TANAGERVANE_FLEET_QUOTA_CODEC_H_
#define TANAGERVANE_FLEET_QUOTA_CODEC_H_

#include <string>
#include <string_view>

#include "absl/status/statusor.h"
#include "tanagervane/quota/messages.h"

namespace tanagervane {

/// Returns whether a datagram is a QuotaMessage, by its first byte. VMs of an
/// earlier release drop it.
bool IsQuotaMessage(std::string_view bytes);

std::string EncodeQuotaMessage(const QuotaMessage& message);

/// Fails with kInvalidRequest when `bytes` are malformed.
absl::StatusOr<QuotaMessage> DecodeQuotaMessage(std::string_view bytes);

}  // namespace tanagervane

#endif  // TANAGERVANE_FLEET_QUOTA_CODEC_H_
