// Proof of Node's configuration: calls to the store, and questions to and
// answers from other VMs.

#include <algorithm>
#include <utility>

#include "platform/config_codec.h"
#include "tanagervane/support/boot_clock.h"
#include "tanagervane/support/log.h"
#include "tools/tanagervane-node/node.h"

namespace tanagervane {

namespace {

/// A VM without a proof stays in the directories for this long, so that a short
/// loss does not make VMs leave and enter them in turn.
constexpr Millis kLeaveDirectoryDelay{1000};

/// Time between reads of a configuration that another VM has in force.
constexpr Millis kNewerConfigReadInterval{300};

}  // namespace

bool Node::NeedsProof() const {
  const ServingPlan* plan = m_dispatcher.plan();
  return m_settings.strict_revocation && plan != nullptr &&
         !plan->tenants().empty();
}

void Node::RunProofRound(std::span<const PeerTable::Peer> peers) {
  if (!NeedsProof() || !m_config_watcher->has_snapshot()) {
    return;
  }
  const Millis now = BootNow();
  uint64_t greatest_version = 0;
  for (const PeerTable::Peer& peer : peers) {
    if (peer.liveness != Liveness::kDead) {
      greatest_version =
          std::max(greatest_version, peer.record.document_revision);
    }
  }
  m_proof.SetGossipedVersion(greatest_version);
  if (m_proof.NewerVersionKnown(now)) {
    ReadNewerConfig();
  }
  const ProofRank place =
      ChooseProofTargets(m_peers.self(), peers, m_proof_random);
  if (m_proof.ShouldCallStore(place.rank, now)) {
    CallStoreForProof();
  }
  const std::string question =
      EncodeProofRequest({.sender = m_settings.id,
                          .nonce = m_proof_questions.Ask(now),
                          .version = m_proof.config().version});
  for (const std::string& target : place.targets) {
    ++m_proof_stats.questions;
    m_gossip.SendTo(target, question);
  }
  UpdateProofState();
}

void Node::CallStoreForProof() {
  const Millis sent_at = BootNow();
  ++m_proof_stats.calls;
  m_proof.OnCallStarted(sent_at);
  m_proof_revision =
      std::max(m_proof_revision, m_config_watcher->watch_revision());
  m_store->Watch(StoreKind::kConfig,
                 {.revision = m_proof_revision,
                  .freshness = Freshness::kLatest,
                  .wait = false},
                 [this, era = m_store->era(), sent_at](
                     StoreResult result, const StoreEvents& events) {
                   OnProofEvents(result, events, era, sent_at);
                 });
}

void Node::OnProofEvents(StoreResult result,
                         const StoreEvents& events,
                         uint64_t era,
                         Millis sent_at) {
  // The revision of the call means nothing in another era.
  const bool is_current = result != StoreResult::kOk || events.era == era;
  if (result != StoreResult::kOk || !is_current) {
    ++m_proof_stats.failed_calls;
    m_proof.OnCallFailed(BootNow());
    if (result == StoreResult::kRevisionTooOld) {
      m_proof_revision = 0;
      m_config_watcher->ReadNow();
    }
    return;
  }
  const bool advanced = events.revision > m_proof_revision;
  m_proof_revision = std::max(m_proof_revision, events.revision);
  if (events.events.empty()) {
    m_proof.OnCallSucceeded(era, sent_at);
    UpdateProofState();
    return;
  }
  for (const StoreEvent& event : events.events) {
    if (!event.deleted) {
      m_config_times.Record(event.object.revision, Poller::Now());
      ApplyConfigObject(event.object);
    }
  }
  // Further changes may follow those of one response, so only a response
  // without changes is a proof.
  m_proof.OnCallFailed(BootNow());
  if (advanced) {
    CallStoreForProof();
  }
}

void Node::ReadNewerConfig() {
  const Millis now = BootNow();
  if (m_newer_config_read_at &&
      now - *m_newer_config_read_at < kNewerConfigReadInterval) {
    return;
  }
  m_newer_config_read_at = now;
  m_config_watcher->ReadNow();
}

bool Node::OnProofDatagram(std::string_view bytes, const std::string& source) {
  if (IsProofRequest(bytes)) {
    OnProofRequest(bytes, source);
    return true;
  }
  if (IsProofResponse(bytes)) {
    OnProofResponse(bytes, source);
    return true;
  }
  return false;
}

void Node::OnProofRequest(std::string_view bytes, const std::string& source) {
  const auto request = DecodeProofRequest(bytes);
  if (!request.ok() || !m_gossip.IsAddressOf(request->sender, source)) {
    ++m_proof_stats.rejected;
    return;
  }
  if (!NeedsProof()) {
    return;
  }
  const Millis now = BootNow();
  m_proof.OnPeerVersion(request->version, now);
  if (m_proof.NewerVersionKnown(now)) {
    ReadNewerConfig();
  }
  m_gossip.SendTo(source, EncodeProofResponse({.sender = m_settings.id,
                                               .nonce = request->nonce,
                                               .proof = m_proof.Tell(now)}));
}

void Node::OnProofResponse(std::string_view bytes, const std::string& source) {
  const auto response = DecodeProofResponse(bytes);
  if (!response.ok() || !m_gossip.IsAddressOf(response->sender, source)) {
    ++m_proof_stats.rejected;
    return;
  }
  const auto asked_at = m_proof_questions.AskedAt(response->nonce);
  if (!asked_at || !NeedsProof()) {
    return;
  }
  ++m_proof_stats.answers;
  if (m_proof.OnPeerProof(response->proof, *asked_at, BootNow())) {
    ReadNewerConfig();
  }
}

void Node::UpdateProofState() {
  const Millis now = BootNow();
  const bool valid = m_proof.IsValid(now);
  if (valid != m_has_proof) {
    m_has_proof = valid;
    LogEvent("config_proof")
        .Field("valid", valid)
        .Field("age_ms", m_proof.Age(now).value_or(Millis(-1)).count())
        .Field("newer_version_known", m_proof.NewerVersionKnown(now))
        .Field("version", m_proof.config().version)
        .Field("revision", m_proof.config().revision)
        .Field("era", m_proof.config().era);
  }
  if (valid || !m_proof.PeerHasProof(now)) {
    m_unproved_since.reset();
  } else if (!m_unproved_since) {
    m_unproved_since = now;
  }
  const bool leave_out =
      m_unproved_since && now - *m_unproved_since >= kLeaveDirectoryDelay;
  if (leave_out == m_left_out) {
    return;
  }
  m_left_out = leave_out;
  LogEvent("directory_presence").Field("left_out", leave_out);
  if (leave_out && m_peers.self().state == PeerState::kServing) {
    // The directories of all VMs omit a VM in this state.
    m_peers.SetState(PeerState::kStarting);
    m_gossip.Announce(Poller::Now());
  }
  UpdateState();
}

void Node::UpdateProofMetrics() {
  MetricsRegistry& metrics = m_request_log.metrics();
  const auto set_counter = [&](std::string_view name, std::string_view help,
                               uint64_t value) {
    metrics.GetCounter(name, help).RaiseTo(value);
  };
  set_counter("tanagervane_config_proof_calls_total",
              "Calls to the store for a proof.", m_proof_stats.calls);
  set_counter("tanagervane_config_proof_failures_total",
              "Calls to the store for a proof that failed.",
              m_proof_stats.failed_calls);
  set_counter("tanagervane_config_proof_questions_total",
              "Questions for a proof sent to other VMs.",
              m_proof_stats.questions);
  set_counter("tanagervane_config_proof_answers_total",
              "Answers to questions for a proof.", m_proof_stats.answers);
  set_counter("tanagervane_config_proof_rejected_total",
              "Messages about proofs that were malformed or came from a "
              "foreign address.",
              m_proof_stats.rejected);
  set_counter("tanagervane_unproved_sends_total",
              "Sends that were left out for lack of a proof.",
              m_dispatcher.stats().unproved_attempts);
  const Millis now = BootNow();
  metrics
      .GetGauge("tanagervane_config_proof_valid",
                "1 while requests with keys are served; 1 without strict "
                "revocation.")
      .Set(!NeedsProof() || m_proof.IsValid(now) ? 1 : 0);
  constexpr double kMillisPerSecond = 1000;
  metrics
      .GetGauge("tanagervane_config_proof_age_seconds",
                "Age of the proof of the configuration; 0 without one.")
      .Set(m_proof.Age(now).value_or(Millis(0)).count() / kMillisPerSecond);
}

}  // namespace tanagervane
