// Messages by which VMs ask each other how old the proof of their configuration
// is, and the choice of the VMs to ask.

#ifndef TANAGERVANE_FLEET_PROOF_EXCHANGE_H_
#define TANAGERVANE_FLEET_PROOF_EXCHANGE_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"
#include "tanagervane/identity/config_proof.h"
#include "tanagervane/state/peer_table.h"
#include "tanagervane/support/millis.h"
#include "tanagervane/support/random.h"

namespace tanagervane {

/// VMs of an earlier release drop both messages.
struct ProofRequest {
  /// Id of the asking VM.
  std::string sender;
  uint64_t nonce = 0;
  /// The version of the configuration in force on the asking VM.
  uint64_t version = 0;
};

struct ProofResponse {
  std::string sender;
  /// The nonce of the request.
  uint64_t nonce = 0;
  PeerProof proof;
};

/// Returns whether a datagram is such a message, by its first byte.
bool IsProofRequest(std::string_view bytes);
bool IsProofResponse(std::string_view bytes);

std::string EncodeProofRequest(const ProofRequest& message);
/// The age is rounded up, so that no proof appears younger than it is.
std::string EncodeProofResponse(const ProofResponse& message);

/// Fail with kInvalidRequest when `bytes` are malformed.
absl::StatusOr<ProofRequest> DecodeProofRequest(std::string_view bytes);
absl::StatusOr<ProofResponse> DecodeProofResponse(std::string_view bytes);

/// The questions that this VM has asked lately.
class ProofQuestions {
 public:
  explicit ProofQuestions(uint64_t seed) : m_random(seed) {}

  /// Returns the nonce of a new question.
  uint64_t Ask(Millis now);

  /// Returns when a question was asked; nullopt for an unknown or old nonce.
  std::optional<Millis> AskedAt(uint64_t nonce) const;

 private:
  struct Question {
    uint64_t nonce = 0;
    Millis asked_at;
  };

  Random m_random;
  std::deque<Question> m_questions;
};

/// The place of a VM among the live VMs that reach the store, in order of id.
struct ProofRank {
  /// Number of such VMs with lower ids.
  size_t rank = 0;
  /// The gossip addresses of the VMs to ask in this round, at most two.
  std::vector<std::string> targets;
};

/// Chooses the VMs to ask: the parent in a tree of the VMs that reach the
/// store, of which the first makes the proofs, and any live VM. `peers` are in
/// order of id.
ProofRank ChooseProofTargets(const PeerRecord& self,
                             std::span<const PeerTable::Peer> peers,
                             Random& random);

}  // namespace tanagervane

#endif  // TANAGERVANE_FLEET_PROOF_EXCHANGE_H_
