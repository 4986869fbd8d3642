#include "tanagervane/identity/config_proof.h"

#include <algorithm>
#include <cassert>

namespace tanagervane {

namespace {

/// Subtracted from the bound: clocks of VMs differ in speed, and a request is
/// sent a moment after the check.
constexpr Millis kProofMargin{100};

/// A key that was added must not be rejected by a VM that may lack it for this
/// part of the time in which a configuration comes into force.
constexpr double kRejectFraction = 0.5;

/// Age of a proof at which the VM of rank 0 makes a new one. It is bounded by a
/// fraction of the maximum age, for deployments with a short bound.
constexpr Millis kCallPeriod{1200};
constexpr double kMaxCallPeriodFraction = 0.25;

/// Ages, as fractions of the maximum, between which VMs of other ranks call the
/// store, one after another, so that the proof of the first reaches the others.
constexpr double kFirstTakeOverFraction = 0.5;
constexpr double kLastTakeOverFraction = 0.75;
constexpr Millis kTakeOverStep{60};

/// Time between failed calls.
constexpr Millis kInitialBackoff{250};
constexpr Millis kMaxBackoff{2000};

/// Gossip tells the versions of all VMs within this time.
constexpr Millis kStatedVersionLifetime{3000};

/// A proof that is due reaches this VM after about this time.
constexpr Millis kProofDelay{300};
constexpr Millis kMinRetryAfter{100};
constexpr Millis kMaxRetryAfter{1500};

}  // namespace

ConfigProofOptions MakeProofOptions(Millis revocation_bound,
                                    Millis config_apply_bound) {
  const Millis max_age = std::max(revocation_bound - kProofMargin, Millis(0));
  return {.max_age = max_age,
          .max_age_to_reject =
              std::min(config_apply_bound * kRejectFraction, max_age)};
}

ConfigProof::ConfigProof(ConfigProofOptions options)
    : m_options(options), m_backoff(kInitialBackoff) {}

void ConfigProof::SetConfig(const ConfigPosition& config) {
  if (config.era < m_config.era ||
      (config.era == m_config.era && config.revision < m_config.revision)) {
    return;
  }
  OnEra(config.era);
  // A version never goes back on a VM, also when the store does.
  const uint64_t version = std::max(m_config.version, config.version);
  m_config = config;
  m_config.version = version;
}

void ConfigProof::OnEra(uint64_t era) {
  if (era <= m_config.era) {
    return;
  }
  m_config.era = era;
  m_config.revision = 0;
  m_proved_at.reset();
  m_peer_proved_at.reset();
}

void ConfigProof::OnPeerVersion(uint64_t version, Millis now) {
  const bool expired = now - m_stated_at >= kStatedVersionLifetime;
  if (version >= m_stated_version || expired) {
    m_stated_version = version;
    m_stated_at = now;
  }
}

bool ConfigProof::NewerVersionKnown(Millis now) const {
  const bool stated_lately = now - m_stated_at < kStatedVersionLifetime;
  return m_gossiped_version > m_config.version ||
         (stated_lately && m_stated_version > m_config.version);
}

Millis ConfigProof::CallAge(size_t rank) const {
  if (rank == 0) {
    return std::min(kCallPeriod, m_options.max_age * kMaxCallPeriodFraction);
  }
  const Millis first = m_options.max_age * kFirstTakeOverFraction;
  const Millis last = m_options.max_age * kLastTakeOverFraction;
  return std::min(first + kTakeOverStep * static_cast<double>(rank - 1), last);
}

bool ConfigProof::ShouldCallStore(size_t rank, Millis now) {
  if (m_proved_at) {
    m_unproved_since.reset();
  } else if (!m_unproved_since) {
    m_unproved_since = now;
  }
  if (m_call_in_flight || now < m_next_call_at) {
    return false;
  }
  if (!m_proved_at) {
    // The first proof is due at once, but in the order of ranks.
    const Millis delay = CallAge(rank) - CallAge(rank == 0 ? 0 : 1);
    return now - *m_unproved_since >= delay;
  }
  return now - *m_proved_at >= CallAge(rank);
}

void ConfigProof::OnCallStarted(Millis now) {
  assert(!m_call_in_flight && "one call at a time");
  m_call_in_flight = true;
  m_next_call_at = now + m_backoff;
}

void ConfigProof::OnCallSucceeded(uint64_t era, Millis sent_at) {
  m_call_in_flight = false;
  m_backoff = kInitialBackoff;
  if (era == m_config.era) {
    Renew(sent_at, sent_at);
  }
}

void ConfigProof::OnCallFailed(Millis now) {
  m_call_in_flight = false;
  m_next_call_at = now + m_backoff;
  m_backoff = std::min(m_backoff * 2, kMaxBackoff);
}

bool ConfigProof::OnPeerProof(const PeerProof& proof,
                              Millis asked_at,
                              Millis now) {
  OnPeerVersion(proof.config.version, now);
  if (proof.config.era != m_config.era) {
    return proof.config.era > m_config.era;
  }
  if (proof.age) {
    // The peer answered after it was asked, so its proof is at least this old,
    // however late the answer is.
    const Millis proved_at = asked_at - *proof.age;
    m_peer_proved_at =
        std::max(m_peer_proved_at.value_or(proved_at), proved_at);
    if (m_config.revision >= proof.config.revision) {
      Renew(proved_at, now);
    }
  }
  return proof.config.revision > m_config.revision ||
         proof.config.version > m_config.version;
}

void ConfigProof::Renew(Millis proved_at, Millis now) {
  if (NewerVersionKnown(now)) {
    return;
  }
  m_proved_at = std::max(m_proved_at.value_or(proved_at), proved_at);
}

std::optional<Millis> ConfigProof::Age(Millis now) const {
  if (!m_proved_at) {
    return std::nullopt;
  }
  return now - *m_proved_at;
}

bool ConfigProof::IsValid(Millis now) const {
  const auto age = Age(now);
  return age && *age <= m_options.max_age;
}

ConfigCertainty ConfigProof::Certainty(Millis now) const {
  const auto age = Age(now);
  return {.accepts_known_keys = age && *age <= m_options.max_age,
          .rejects_unknown_keys = age && *age <= m_options.max_age_to_reject &&
                                  !NewerVersionKnown(now),
          .retry_after = RetryAfter(now)};
}

Millis ConfigProof::RetryAfter(Millis now) const {
  const Millis until_call = std::max(m_next_call_at - now, Millis(0));
  return std::clamp(until_call + kProofDelay, kMinRetryAfter, kMaxRetryAfter);
}

PeerProof ConfigProof::Tell(Millis now) const {
  return {.config = m_config,
          .age = IsValid(now) ? Age(now) : std::optional<Millis>()};
}

bool ConfigProof::PeerHasProof(Millis now) const {
  return m_peer_proved_at && now - *m_peer_proved_at <= m_options.max_age;
}

}  // namespace tanagervane
