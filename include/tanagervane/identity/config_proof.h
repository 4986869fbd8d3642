// Proof that a VM's configuration was the latest one a short time ago.

#ifndef TANAGERVANE_IDENTITY_CONFIG_PROOF_H_
#define TANAGERVANE_IDENTITY_CONFIG_PROOF_H_

#include <cstddef>
#include <cstdint>
#include <optional>

#include "tanagervane/identity/identity.h"
#include "tanagervane/support/millis.h"

namespace tanagervane {

/// A configuration as it is held in the store.
struct ConfigPosition {
  /// Revisions of different eras are not comparable.
  uint64_t era = 0;
  /// The store's revision of the last change of the configuration that the VM
  /// has processed, also if it was invalid or ignored.
  uint64_t revision = 0;
  /// The version in force.
  uint64_t version = 0;
};

/// What a VM tells another one: its configuration, and how long ago this was
/// known to be the latest one; nullopt without a proof.
struct PeerProof {
  ConfigPosition config;
  std::optional<Millis> age;
};

struct ConfigProofOptions {
  /// Age up to which a proof shows that a known key is not revoked.
  Millis max_age{4900};
  /// Age up to which a proof shows that an unknown key does not exist.
  Millis max_age_to_reject{2500};
};

/// Options for the bounds within which a removed key must stop working and an
/// accepted configuration must be in force.
ConfigProofOptions MakeProofOptions(Millis revocation_bound,
                                    Millis config_apply_bound);

/// Collects the proofs of one VM and decides when it must call the store for a
/// new one. Times are those of a clock that counts suspended time.
class ConfigProof {
 public:
  explicit ConfigProof(ConfigProofOptions options);

  /// Changes the bounds; a proof is kept.
  void SetOptions(ConfigProofOptions options) { m_options = options; }

  /// The VM has processed a change of its configuration. Another era voids the
  /// proof. A lower revision of the same era is ignored.
  void SetConfig(const ConfigPosition& config);
  const ConfigPosition& config() const { return m_config; }

  /// The store has entered an era. Proofs of an earlier one are void, because a
  /// restored store may lack changes that it acknowledged.
  void OnEra(uint64_t era);

  /// Sets the greatest version that is in force on a live peer, as gossip tells
  /// it. No proof is accepted while this exceeds the VM's own version: the
  /// store may have lost the later one.
  void SetGossipedVersion(uint64_t version) { m_gossiped_version = version; }
  /// A peer has stated the version that it has in force. Counts for a few
  /// seconds, until gossip has told it.
  void OnPeerVersion(uint64_t version, Millis now);
  bool NewerVersionKnown(Millis now) const;

  /// Returns whether to call the store now. `rank` is the number of live VMs
  /// with lower ids that reach the store. The VM of rank 0 calls regularly, the
  /// others when their proof becomes old.
  bool ShouldCallStore(size_t rank, Millis now);
  void OnCallStarted(Millis now);
  /// The store's answer to a read of the latest state, sent at `sent_at`, has
  /// shown that the VM's configuration was the latest in this era.
  void OnCallSucceeded(uint64_t era, Millis sent_at);
  /// The call gave no proof.
  void OnCallFailed(Millis now);

  /// Handles the answer to a question that was sent at `asked_at`. Returns
  /// whether the peer has processed a change that this VM lacks.
  bool OnPeerProof(const PeerProof& proof, Millis asked_at, Millis now);

  /// Age of the proof; nullopt without one.
  std::optional<Millis> Age(Millis now) const;
  /// Whether keys may be accepted.
  bool IsValid(Millis now) const;
  ConfigCertainty Certainty(Millis now) const;

  /// What this VM tells a peer now. The age is that of a valid proof only.
  PeerProof Tell(Millis now) const;

  /// Whether another VM has lately stated a proof that would be valid now.
  bool PeerHasProof(Millis now) const;

 private:
  void Renew(Millis proved_at, Millis now);
  /// Age at which a VM calls the store.
  Millis CallAge(size_t rank) const;
  Millis RetryAfter(Millis now) const;

  ConfigProofOptions m_options;
  ConfigPosition m_config;
  /// When the configuration was known to be the latest.
  std::optional<Millis> m_proved_at;
  uint64_t m_gossiped_version = 0;
  uint64_t m_stated_version = 0;
  Millis m_stated_at;
  /// When the proof that a peer has stated last was made.
  std::optional<Millis> m_peer_proved_at;
  /// Since when there has been no proof, if there is none.
  std::optional<Millis> m_unproved_since;
  bool m_call_in_flight = false;
  Millis m_next_call_at;
  Millis m_backoff;
};

}  // namespace tanagervane

#endif  // TANAGERVANE_IDENTITY_CONFIG_PROOF_H_
