#include "tanagervane/query/coverage.h"

#include <algorithm>
#include <cassert>
#include <string_view>

namespace tanagervane {

std::string_view ToString(MissingReason reason) {
  switch (reason) {
    case MissingReason::kNoReplica:
      return "no_replica";
    case MissingReason::kTimedOut:
      return "timed_out";
    case MissingReason::kVersionGone:
      return "version_gone";
    case MissingReason::kFailed:
      return "failed";
    case MissingReason::kCancelled:
      return "cancelled";
    case MissingReason::kShed:
      return "shed";
    case MissingReason::kNotNeeded:
      break;
  }
  return "not_needed";
}

bool Answer::complete() const {
  return !refusal && std::ranges::all_of(missing, [](const MissingShard& m) {
    return m.reason == MissingReason::kNotNeeded;
  });
}

Coverage::Coverage(uint32_t shard_count) : m_shard_states(shard_count) {
  assert(shard_count > 0 && "a fan-out has at least one shard");
}

void Coverage::MarkCovered(uint32_t shard) {
  assert(shard < m_shard_states.size() && "the shard belongs to the shard map");
  assert(!IsSettled(shard) && "a shard is settled at most once");
  m_shard_states[shard].covered = true;
  ++m_covered;
}

void Coverage::MarkMissing(uint32_t shard, MissingReason reason) {
  assert(shard < m_shard_states.size() && "the shard belongs to the shard map");
  assert(!IsSettled(shard) && "a shard is settled at most once");
  m_shard_states[shard].missing = reason;
  ++m_missing;
}

void Coverage::MarkRestMissing(MissingReason reason, bool replace) {
  for (ShardState& state : m_shard_states) {
    if (state.covered) {
      continue;
    }
    if (!state.missing) {
      state.missing = reason;
      ++m_missing;
    } else if (replace) {
      state.missing = reason;
    }
  }
}

bool Coverage::IsSettled(uint32_t shard) const {
  return m_shard_states[shard].covered ||
         m_shard_states[shard].missing.has_value();
}

double Coverage::Fraction() const {
  return static_cast<double>(m_covered) /
         static_cast<double>(m_shard_states.size());
}

std::vector<MissingShard> Coverage::MissingShards() const {
  std::vector<MissingShard> missing;
  missing.reserve(m_missing);
  for (uint32_t shard = 0; shard < m_shard_states.size(); ++shard) {
    if (const auto reason = m_shard_states[shard].missing) {
      missing.push_back({shard, *reason});
    }
  }
  return missing;
}

bool Coverage::HasMissing(MissingReason reason) const {
  return std::ranges::any_of(m_shard_states, [reason](const ShardState& state) {
    return state.missing == reason;
  });
}

}  // namespace tanagervane
