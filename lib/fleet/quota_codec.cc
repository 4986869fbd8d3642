#include "tanagervane/fleet/quota_codec.h"

#include <cmath>
#include <variant>

#include "gossip_bytes.h"
#include "tanagervane/support/error.h"

namespace tanagervane {

namespace {

/// First byte of each message. Differs from those of the other messages and
/// from the layout versions of GossipMessage, which are small numbers.
constexpr char kQuotaTag = 'Q';

constexpr int kNonceBytes = 8;
constexpr int kSlotMaskBytes = 8;

/// Second byte of each message.
enum class BodyType : uint8_t {
  kShareRequest = 1,
  kShareGrant,
  kPermitRequest,
  kPermitReply,
  kPermitReturn,
};

class BodyEncoder {
 public:
  BodyEncoder(std::string& bytes, std::string_view sender)
      : m_bytes(bytes), m_sender(sender) {}

  void operator()(const ShareRequest& body) {
    Begin(BodyType::kShareRequest, body.nonce);
    AppendFixed(m_bytes, body.slots, kSlotMaskBytes);
    Append(body.census);
  }

  void operator()(const ShareGrant& body) {
    Begin(BodyType::kShareGrant, body.nonce);
    AppendFixed(m_bytes, body.slots, kSlotMaskBytes);
    AppendVarint(m_bytes, body.divisor);
    Append(body.census);
  }

  void operator()(const PermitRequest& body) {
    Begin(BodyType::kPermitRequest, body.nonce);
    AppendString(m_bytes, body.tenant);
  }

  void operator()(const PermitReply& body) {
    Begin(BodyType::kPermitReply, body.nonce);
    m_bytes += static_cast<char>(body.result);
    AppendVarint(m_bytes,
                 static_cast<uint64_t>(std::ceil(body.retry_after.count())));
  }

  void operator()(const PermitReturn& body) {
    Begin(BodyType::kPermitReturn, body.nonce);
  }

 private:
  void Begin(BodyType type, uint64_t nonce) {
    m_bytes += static_cast<char>(type);
    AppendString(m_bytes, m_sender);
    AppendFixed(m_bytes, nonce, kNonceBytes);
  }

  void Append(const CensusStatement& census) {
    AppendVarint(m_bytes, census.count);
    AppendVarint(m_bytes, census.floor);
  }

  std::string& m_bytes;
  std::string_view m_sender;
};

CensusStatement ReadCensus(GossipReader& reader) {
  CensusStatement census;
  census.count = reader.ReadVarint();
  census.floor = reader.ReadVarint();
  return census;
}

/// Reads what follows the nonce. Returns false if it is invalid.
bool ReadBody(GossipReader& reader,
              BodyType type,
              uint64_t nonce,
              QuotaMessage& message) {
  switch (type) {
    case BodyType::kShareRequest: {
      const uint64_t slots = reader.ReadFixed(kSlotMaskBytes);
      message.body = ShareRequest{nonce, slots, ReadCensus(reader)};
      return true;
    }
    case BodyType::kShareGrant: {
      const uint64_t slots = reader.ReadFixed(kSlotMaskBytes);
      const uint64_t divisor = reader.ReadVarint();
      message.body = ShareGrant{nonce, slots, divisor, ReadCensus(reader)};
      return divisor > 0;
    }
    case BodyType::kPermitRequest:
      message.body = PermitRequest{nonce, reader.ReadString()};
      return true;
    case BodyType::kPermitReply: {
      const uint64_t result = reader.ReadByte();
      const auto retry_after = static_cast<double>(reader.ReadVarint());
      message.body = PermitReply{nonce, static_cast<PermitResult>(result),
                                 Millis(retry_after)};
      return result <= static_cast<uint64_t>(PermitResult::kNoShare);
    }
    case BodyType::kPermitReturn:
      message.body = PermitReturn{nonce};
      return true;
  }
  return false;
}

}  // namespace

bool IsQuotaMessage(std::string_view bytes) {
  return bytes.starts_with(kQuotaTag);
}

std::string EncodeQuotaMessage(const QuotaMessage& message) {
  std::string bytes(1, kQuotaTag);
  std::visit(BodyEncoder(bytes, message.sender), message.body);
  return bytes;
}

absl::StatusOr<QuotaMessage> DecodeQuotaMessage(std::string_view bytes) {
  GossipReader reader(bytes);
  QuotaMessage message;
  const bool is_tagged = IsQuotaMessage(bytes);
  reader.ReadByte();
  const auto type = static_cast<BodyType>(reader.ReadByte());
  message.sender = reader.ReadString();
  const uint64_t nonce = reader.ReadFixed(kNonceBytes);
  if (!is_tagged || !ReadBody(reader, type, nonce, message) || !reader.ok() ||
      !reader.at_end()) {
    return MakeError(ErrorCode::kInvalidRequest, "malformed quota message",
                     message.sender);
  }
  return message;
}

}  // namespace tanagervane
