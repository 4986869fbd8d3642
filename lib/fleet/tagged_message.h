// The frame of gossip messages that begin with a tag and their sender.

#ifndef TANAGERVANE_LIB_FLEET_TAGGED_MESSAGE_H_
#define TANAGERVANE_LIB_FLEET_TAGGED_MESSAGE_H_

#include <string>
#include <string_view>

#include "absl/status/statusor.h"
#include "gossip_bytes.h"
#include "tanagervane/support/error.h"

namespace tanagervane {

/// Decodes a message. `read_body` reads what follows the sender into a message
/// and returns whether its values are valid. Fails with kInvalidRequest and the
/// text `error` if the message lacks its tag, is truncated, is followed by
/// further bytes or has invalid values.
template <typename Message, typename ReadBody>
absl::StatusOr<Message> DecodeTagged(std::string_view bytes,
                                     bool is_tagged,
                                     std::string_view error,
                                     const ReadBody& read_body) {
  GossipReader reader(bytes);
  reader.ReadByte();
  Message message;
  message.sender = reader.ReadString();
  if (!is_tagged || !read_body(reader, message) || !reader.ok() ||
      !reader.at_end()) {
    return MakeError(ErrorCode::kInvalidRequest, error, message.sender);
  }
  return message;
}

}  // namespace tanagervane

#endif  // TANAGERVANE_LIB_FLEET_TAGGED_MESSAGE_H_
