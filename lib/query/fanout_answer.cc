// How a fan-out finishes: with an answer or with a refusal.

#include "tanagervane/query/fanout.h"

#include <algorithm>
#include <cassert>
#include <utility>

#include "fmt/format.h"

namespace tanagervane {

namespace {

/// Replicas report their status every 500 ms, so a caller that retries sooner
/// finds the same set of replicas.
constexpr Millis kNoReplicaRetryAfter{500};

/// The concurrency limit of a replica that sheds attempts is halved. This is
/// several times its usual latency, enough for its queue to drain.
constexpr Millis kShedRetryAfter{100};

}  // namespace

void Fanout::Cancel(Millis now) {
  FinishWithRefusal(ErrorCode::kCancelled, "the caller cancelled the request",
                    now);
}

void Fanout::FinishAtDeadline(Millis now) {
  m_request.trace->Add(now, "deadline passed");
  m_coverage.MarkRestMissing(MissingReason::kTimedOut, /*replace=*/false);
  Finish(now);
}

void Fanout::Finish(Millis now) {
  assert(!finished() && "a request is answered once");
  CancelAllAttempts(now);
  m_answer = MakeAnswer();
  m_waits_for_other_attempt = false;
}

void Fanout::FinishWithRefusal(ErrorCode error,
                               std::string detail,
                               Millis now) {
  assert(!finished() && "a request is answered once");
  CancelAllAttempts(now);
  m_coverage.MarkRestMissing(MissingReason::kCancelled, /*replace=*/false);
  m_answer = MakeAnswer();
  m_answer->refusal = Refusal{.error = error,
                              .detail = std::move(detail),
                              .outcome = outcome(),
                              .retry_after = Millis()};
  m_answer->results.clear();
  m_waits_for_other_attempt = false;
}

Outcome Fanout::outcome() const {
  if (m_known_ran) {
    return Outcome::kRan;
  }
  return m_attempts_sent == m_attempts_proved_not_run ? Outcome::kNotRun
                                                      : Outcome::kUnknown;
}

std::optional<Refusal> Fanout::RefusalForCoverage() const {
  // Without the tolerance, rounding could make 9 of 10 shards less than a
  // min_coverage of 0.9.
  constexpr double kRoundingTolerance = 1e-9;
  const bool has_enough_rows = m_coverage.HasMissing(MissingReason::kNotNeeded);
  const bool covers_enough =
      m_coverage.covered() > 0 && m_coverage.Fraction() + kRoundingTolerance >=
                                      m_request.spec->min_coverage;
  if (has_enough_rows || covers_enough) {
    return std::nullopt;
  }
  Refusal refusal{
      .error = ErrorCode::kInternal,
      .detail = fmt::format("{} of {} shards answered", m_coverage.covered(),
                            m_coverage.shard_count()),
      .outcome = outcome(),
      .retry_after = Millis()};
  if (m_coverage.HasMissing(MissingReason::kTimedOut)) {
    refusal.error = ErrorCode::kDeadlineExceeded;
  } else if (m_coverage.HasMissing(MissingReason::kShed)) {
    refusal.error = ErrorCode::kOverloaded;
    refusal.retry_after = kShedRetryAfter;
  } else if (m_coverage.HasMissing(MissingReason::kNoReplica) ||
             m_coverage.HasMissing(MissingReason::kVersionGone)) {
    refusal.error = ErrorCode::kNoReplica;
    refusal.retry_after = kNoReplicaRetryAfter;
  }
  return refusal;
}

Answer Fanout::MakeAnswer() {
  Answer answer;
  answer.request_id = m_request.request->id;
  answer.class_name = m_request.spec->name;
  answer.tenant = m_request.request->tenant;
  answer.index = m_request.spec->index;
  answer.index_version = m_snapshot.version;
  answer.shard_count = m_snapshot.shard_count;
  answer.missing = m_coverage.MissingShards();
  answer.extra_attempts =
      m_attempts_sent - std::min(m_attempts_sent, m_snapshot.shard_count);
  assert(m_coverage.covered() + answer.missing.size() == answer.shard_count &&
         "covered and missing shards add up to the shard map");
  answer.refusal = RefusalForCoverage();
  if (answer.refusal) {
    return answer;
  }
  answer.results.reserve(m_coverage.covered());
  for (uint32_t shard = 0; shard < m_shards.size(); ++shard) {
    if (m_coverage.IsCovered(shard)) {
      answer.results.push_back({shard, std::move(m_shards[shard].rows)});
    }
  }
  return answer;
}

Answer Fanout::TakeAnswer() {
  assert(m_answer && "only a finished fan-out has an answer");
  return std::move(*m_answer);
}

}  // namespace tanagervane
