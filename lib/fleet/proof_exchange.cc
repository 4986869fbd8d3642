#include "tanagervane/fleet/proof_exchange.h"

#include <algorithm>
#include <cmath>

#include "gossip_bytes.h"
#include "tagged_message.h"

namespace tanagervane {

namespace {

/// First byte of each message. Differs from the layout versions of
/// GossipMessage, which are small numbers, and from the tags of other messages.
constexpr char kRequestTag = 'F';
constexpr char kResponseTag = 'f';

constexpr int kNonceBytes = 8;

/// Questions are asked every gossip interval, so the oldest is far older than
/// any answer that can still give a valid proof.
constexpr size_t kMaxQuestions = 64;

/// Children of a VM in the tree. With three, a VM answers about 16 questions a
/// second and a proof reaches 143 VMs over five levels.
constexpr size_t kChildren = 3;

bool CanCallStore(const PeerTable::Peer& peer) {
  return peer.liveness == Liveness::kAlive && peer.record.store_reachable &&
         peer.record.state != PeerState::kLeaving;
}

}  // namespace

bool IsProofRequest(std::string_view bytes) {
  return bytes.starts_with(kRequestTag);
}

bool IsProofResponse(std::string_view bytes) {
  return bytes.starts_with(kResponseTag);
}

std::string EncodeProofRequest(const ProofRequest& message) {
  std::string bytes(1, kRequestTag);
  AppendString(bytes, message.sender);
  AppendFixed(bytes, message.nonce, kNonceBytes);
  AppendVarint(bytes, message.version);
  return bytes;
}

std::string EncodeProofResponse(const ProofResponse& message) {
  std::string bytes(1, kResponseTag);
  AppendString(bytes, message.sender);
  AppendFixed(bytes, message.nonce, kNonceBytes);
  AppendVarint(bytes, message.proof.config.era);
  AppendVarint(bytes, message.proof.config.revision);
  AppendVarint(bytes, message.proof.config.version);
  // 0 stands for no proof, so the age is increased by one.
  AppendVarint(bytes, message.proof.age
                          ? static_cast<uint64_t>(std::ceil(
                                std::max(message.proof.age->count(), 0.0))) +
                                1
                          : 0);
  return bytes;
}

absl::StatusOr<ProofRequest> DecodeProofRequest(std::string_view bytes) {
  return DecodeTagged<ProofRequest>(
      bytes, IsProofRequest(bytes), "malformed question for proof",
      [](GossipReader& reader, ProofRequest& message) {
        message.nonce = reader.ReadFixed(kNonceBytes);
        message.version = reader.ReadVarint();
        return true;
      });
}

absl::StatusOr<ProofResponse> DecodeProofResponse(std::string_view bytes) {
  return DecodeTagged<ProofResponse>(
      bytes, IsProofResponse(bytes), "malformed answer with proof",
      [](GossipReader& reader, ProofResponse& message) {
        message.nonce = reader.ReadFixed(kNonceBytes);
        message.proof.config.era = reader.ReadVarint();
        message.proof.config.revision = reader.ReadVarint();
        message.proof.config.version = reader.ReadVarint();
        if (const uint64_t age = reader.ReadVarint(); age > 0) {
          message.proof.age = Millis(static_cast<double>(age - 1));
        }
        return true;
      });
}

uint64_t ProofQuestions::Ask(Millis now) {
  const Question question{m_random.Next(), now};
  m_questions.push_back(question);
  if (m_questions.size() > kMaxQuestions) {
    m_questions.pop_front();
  }
  return question.nonce;
}

std::optional<Millis> ProofQuestions::AskedAt(uint64_t nonce) const {
  const auto found = std::ranges::find(m_questions, nonce, &Question::nonce);
  return found == m_questions.end() ? std::nullopt
                                    : std::optional(found->asked_at);
}

ProofRank ChooseProofTargets(const PeerRecord& self,
                             std::span<const PeerTable::Peer> peers,
                             Random& random) {
  ProofRank result;
  std::vector<const PeerRecord*> callers;
  std::vector<const PeerRecord*> live;
  for (const PeerTable::Peer& peer : peers) {
    if (CanCallStore(peer)) {
      callers.push_back(&peer.record);
      result.rank += peer.record.id < self.id ? 1 : 0;
    }
    if (peer.liveness == Liveness::kAlive) {
      live.push_back(&peer.record);
    }
  }
  if (!callers.empty() && (result.rank > 0 || !self.store_reachable)) {
    // A VM that does not reach the store is nobody's parent, and may ask any
    // VM that does.
    const size_t parent = self.store_reachable
                              ? (result.rank - 1) / kChildren
                              : random.NextBelow(callers.size());
    result.targets.push_back(callers[parent]->peer_address);
  }
  if (!live.empty()) {
    const std::string& address =
        live[random.NextBelow(live.size())]->peer_address;
    if (result.targets.empty() || result.targets.front() != address) {
      result.targets.push_back(address);
    }
  }
  return result;
}

}  // namespace tanagervane
