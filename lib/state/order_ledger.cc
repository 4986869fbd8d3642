// OrderLedger: claims, results and maintenance. Calls of the platform are in
// order_ledger_calls.cc.

#include "tanagervane/state/order_ledger.h"

#include <algorithm>
#include <cassert>
#include <utility>

#include "claim_results.h"
#include "fmt/format.h"
#include "tanagervane/support/hash.h"

namespace tanagervane {

namespace {

// A bucket is one platform object. It holds the claims of one epoch, that is,
// of two minutes of issue times, whose keys have the same hash modulo kBuckets.
// An object has room for about 2,000 claims, so 16 buckets for every two
// minutes carry 260 orders/s.
constexpr int64_t kEpochMs = 120000;
constexpr uint32_t kBuckets = 16;
/// A key that was issued more epochs ago than this is refused.
constexpr int64_t kKeyLifetimeEpochs = 10;
/// Six epochs more than kKeyLifetimeEpochs, so that the clocks of entries may
/// differ by up to ten minutes.
constexpr int64_t kObjectLifetimeEpochs = 16;
/// Number of expired epochs whose objects one maintenance run looks for.
constexpr int64_t kDeletionWindowEpochs = 3;
constexpr int64_t kMaxIssueTimeAheadMs = 60000;
constexpr size_t kMaxKeyBytes = 256;
constexpr Millis kMaintenanceInterval{60000};
/// How long a result is held back so that it can share the write of a claim. A
/// duplicate that reaches another entry within this time gets kOutcomeUnknown
/// instead of the result.
constexpr Millis kResultDelay{200};

}  // namespace

OrderLedger::OrderLedger(Options options,
                         PlatformApi platform,
                         ClockHook clock,
                         WallClockHook wall_clock)
    : m_options(std::move(options)),
      m_platform(std::move(platform)),
      m_clock(std::move(clock)),
      m_wall_clock(std::move(wall_clock)),
      m_random(m_options.seed),
      m_next_maintenance(m_clock() +
                         kMaintenanceInterval * m_random.NextDouble()) {}

OrderLedger::BucketId OrderLedger::BucketIdOf(const OrderKey& key) const {
  return {key.issued_at.count / kEpochMs,
          static_cast<uint32_t>(StableHash(key.key) % kBuckets)};
}

std::string OrderLedger::ObjectName(const BucketId& id) const {
  return fmt::format("{}-{}-{}", m_options.team, id.first, id.second);
}

bool OrderLedger::Expired(const OrderKey& key) const {
  return m_wall_clock().count / kEpochMs - key.issued_at.count / kEpochMs >
         kKeyLifetimeEpochs;
}

void OrderLedger::Claim(const OrderKey& key,
                        uint64_t digest,
                        Millis deadline,
                        ClaimDone done) {
  if (key.key.empty() || key.key.size() > kMaxKeyBytes ||
      key.issued_at.count <= 0 ||
      key.issued_at.count > m_wall_clock().count + kMaxIssueTimeAheadMs) {
    done(RefusedResult(
        ErrorCode::kInvalidRequest,
        "the order key is empty, longer than 256 bytes, or has an issue "
        "time in the future"));
    return;
  }
  if (Expired(key)) {
    done(KeyExpiredResult());
    return;
  }
  if (m_clock() >= deadline) {
    done(DeadlineExceededResult());
    return;
  }
  const auto it = m_active_claims.find(key);
  if (it == m_active_claims.end()) {
    StartClaim(key, digest, deadline, std::move(done));
  } else if (it->second.digest != digest) {
    done(KeyReusedResult());
  } else if (it->second.done) {
    done(AlreadyDoneResult(it->second.result));
  } else {
    it->second.duplicates.push_back({deadline, std::move(done)});
  }
}

void OrderLedger::StartClaim(const OrderKey& key,
                             uint64_t digest,
                             Millis deadline,
                             ClaimDone done) {
  Operation operation;
  operation.key = key;
  operation.digest = digest;
  operation.deadline = deadline;
  operation.done = std::move(done);
  operation.nonce =
      fmt::format("{:x}-{:016x}", m_options.incarnation, m_random.Next());
  ActiveClaim& active_claim = m_active_claims[key];
  active_claim.digest = digest;
  active_claim.nonce = operation.nonce;
  Enqueue(std::move(operation), false);
}

void OrderLedger::RecordResult(const OrderKey& key, std::string result) {
  const auto it = m_active_claims.find(key);
  if (it == m_active_claims.end() || !it->second.granted || it->second.done) {
    return;
  }
  ActiveClaim& active_claim = it->second;
  active_claim.done = true;
  active_claim.result = std::move(result);
  const auto duplicates = std::exchange(active_claim.duplicates, {});
  const std::string recorded = active_claim.result;
  Operation operation;
  operation.kind = OperationKind::kFinish;
  operation.key = key;
  operation.digest = active_claim.digest;
  operation.nonce = active_claim.nonce;
  operation.result = recorded;
  operation.not_before = m_clock() + kResultDelay;
  Enqueue(std::move(operation), false);
  for (const ActiveClaim::Duplicate& duplicate : duplicates) {
    duplicate.done(AlreadyDoneResult(recorded));
  }
}

void OrderLedger::Release(const OrderKey& key) {
  const auto it = m_active_claims.find(key);
  if (it == m_active_claims.end() || !it->second.granted || it->second.done) {
    return;
  }
  EnqueueRelease(key, it->second.nonce);
  PromoteDuplicate(key);
}

void OrderLedger::MarkOutcomeUnknown(const OrderKey& key) {
  const auto it = m_active_claims.find(key);
  if (it == m_active_claims.end() || !it->second.granted || it->second.done) {
    return;
  }
  const auto duplicates = std::move(it->second.duplicates);
  m_active_claims.erase(it);
  for (const ActiveClaim::Duplicate& duplicate : duplicates) {
    duplicate.done(InProgressResult());
  }
}

/// Ends the active claim of `key`. The first duplicate whose deadline has not
/// passed replaces it, with a new nonce.
void OrderLedger::PromoteDuplicate(const OrderKey& key) {
  auto node = m_active_claims.extract(key);
  if (node.empty()) {
    return;
  }
  const Millis now = m_clock();
  for (ActiveClaim::Duplicate& duplicate : node.mapped().duplicates) {
    if (now >= duplicate.deadline) {
      duplicate.done(DeadlineExceededResult());
    } else {
      Claim(key, node.mapped().digest, duplicate.deadline,
            std::move(duplicate.done));
    }
  }
}

void OrderLedger::Enqueue(Operation operation, bool at_front) {
  const BucketId id = BucketIdOf(operation.key);
  Bucket& bucket = m_buckets[id];
  if (at_front) {
    bucket.queued.push_front(std::move(operation));
  } else {
    bucket.queued.push_back(std::move(operation));
  }
  StartNextCall(id, m_clock());
}

void OrderLedger::EnqueueRelease(const OrderKey& key,
                                 const std::string& nonce) {
  Operation operation;
  operation.kind = OperationKind::kRelease;
  operation.key = key;
  operation.nonce = nonce;
  // Placed before any newer claim of the key, which would otherwise find the
  // released claim still in place.
  Enqueue(std::move(operation), true);
}

bool OrderLedger::HasPendingWrites() const {
  return std::any_of(m_buckets.begin(), m_buckets.end(), [](const auto& item) {
    return !item.second.queued.empty() || !item.second.writing.empty();
  });
}

void OrderLedger::Refuse(Operation& operation,
                         const ClaimResult& claim_result) {
  if (operation.kind != OperationKind::kClaim) {
    Confirm(operation, m_clock());
    return;
  }
  if (operation.maybe_written) {
    EnqueueRelease(operation.key, operation.nonce);
  }
  const ClaimDone done = std::exchange(operation.done, nullptr);
  if (!done) {
    return;
  }
  const bool deadline_exceeded =
      !claim_result.status.ok() &&
      GetErrorCode(claim_result.status) == ErrorCode::kDeadlineExceeded;
  if (deadline_exceeded) {
    PromoteDuplicate(operation.key);
    done(claim_result);
    return;
  }
  const auto node = m_active_claims.extract(operation.key);
  done(claim_result);
  if (!node.empty()) {
    for (const ActiveClaim::Duplicate& duplicate : node.mapped().duplicates) {
      duplicate.done(claim_result);
    }
  }
}

/// Completes an operation that the platform's object is known to contain.
void OrderLedger::Confirm(Operation& operation, Millis now) {
  const auto it = m_active_claims.find(operation.key);
  const bool current =
      it != m_active_claims.end() && it->second.nonce == operation.nonce;
  if (operation.kind == OperationKind::kFinish && current) {
    m_active_claims.erase(it);
  }
  if (operation.kind != OperationKind::kClaim) {
    return;
  }
  if (!operation.done || !current || now >= operation.deadline ||
      Expired(operation.key)) {
    operation.maybe_written = true;
    Refuse(operation, DeadlineExceededResult());
    return;
  }
  assert(!it->second.granted && "a claim is granted once");
  it->second.granted = true;
  const ClaimDone done = std::exchange(operation.done, nullptr);
  done(MakeClaimResult(ClaimResult::Kind::kGranted, Outcome::kNotRun));
}

/// Answers claims and duplicates whose deadline has passed, including claims in
/// a write in flight.
void OrderLedger::ExpireClaims(Millis now) {
  std::vector<ClaimDone> expired;
  for (auto& [key, active_claim] : m_active_claims) {
    auto& duplicates = active_claim.duplicates;
    const auto keep = std::stable_partition(
        duplicates.begin(), duplicates.end(),
        [now](const auto& duplicate) { return now < duplicate.deadline; });
    for (auto it = keep; it != duplicates.end(); ++it) {
      expired.push_back(std::move(it->done));
    }
    duplicates.erase(keep, duplicates.end());
  }
  std::vector<std::pair<OrderKey, ClaimDone>> claims;
  for (auto& [id, bucket] : m_buckets) {
    for (Operations* operations : {&bucket.queued, &bucket.writing}) {
      for (Operation& operation : *operations) {
        if (operation.done && now >= operation.deadline) {
          claims.emplace_back(operation.key,
                              std::exchange(operation.done, nullptr));
        }
      }
    }
  }
  for (auto& [key, done] : claims) {
    PromoteDuplicate(key);
    done(DeadlineExceededResult());
  }
  // The order of the first claim may be running on this entry, so the outcome
  // is unknown to its duplicates.
  for (const ClaimDone& done : expired) {
    done(InProgressResult());
  }
}

void OrderLedger::OnTick(Millis now) {
  ExpireClaims(now);
  std::vector<BucketId> ids;
  for (const auto& [id, bucket] : m_buckets) {
    ids.push_back(id);
  }
  for (const BucketId& id : ids) {
    const auto it = m_buckets.find(id);
    if (it == m_buckets.end()) {
      continue;
    }
    Bucket& bucket = it->second;
    if (bucket.call.Overdue(now)) {
      bucket.call.Cancel();
      bucket.cached = false;
      ReturnToQueue(bucket, true);
      OnCallFailure(id, now);
    }
    StartNextCall(id, now);
  }
  if (now >= m_next_maintenance) {
    m_next_maintenance = now + kMaintenanceInterval;
    DropExpired(now);
  }
}

Millis OrderLedger::NextTimer() const {
  Millis next = m_next_maintenance;
  for (const auto& [id, bucket] : m_buckets) {
    if (bucket.call.active()) {
      next = std::min(next, *bucket.call.deadline());
    } else if (bucket.deleting) {
      next = std::min(next, bucket.next_call);
    } else if (!bucket.queued.empty()) {
      next = std::min(next, std::max(bucket.next_call, EarliestStart(bucket)));
    }
    for (const Operations* operations : {&bucket.queued, &bucket.writing}) {
      for (const Operation& operation : *operations) {
        if (operation.done) {
          next = std::min(next, operation.deadline);
        }
      }
    }
  }
  for (const auto& [key, active_claim] : m_active_claims) {
    for (const ActiveClaim::Duplicate& duplicate : active_claim.duplicates) {
      next = std::min(next, duplicate.deadline);
    }
  }
  return next;
}

/// Drops expired claims and marks objects of old epochs for deletion, including
/// objects that this entry did not write, because the entries that wrote them
/// may have ended.
void OrderLedger::DropExpired(Millis now) {
  std::vector<ClaimDone> duplicates;
  for (auto it = m_active_claims.begin(); it != m_active_claims.end();) {
    if (!it->second.granted || !Expired(it->first)) {
      ++it;
      continue;
    }
    for (ActiveClaim::Duplicate& duplicate : it->second.duplicates) {
      duplicates.push_back(std::move(duplicate.done));
    }
    it = m_active_claims.erase(it);
  }
  const int64_t oldest_kept =
      m_wall_clock().count / kEpochMs - kObjectLifetimeEpochs + 1;
  if (oldest_kept > m_oldest_kept_epoch) {
    const int64_t from =
        std::max(m_oldest_kept_epoch, oldest_kept - kDeletionWindowEpochs);
    for (int64_t epoch = from; epoch < oldest_kept; ++epoch) {
      for (uint32_t index = 0; index < kBuckets; ++index) {
        m_buckets[{epoch, index}].next_call =
            now + kMaintenanceInterval * m_random.NextDouble();
      }
    }
    m_oldest_kept_epoch = oldest_kept;
  }
  for (auto& [id, bucket] : m_buckets) {
    if (id.first < oldest_kept && !bucket.deleting) {
      bucket.deleting = true;
      bucket.cached = false;
      bucket.failures = 0;
    }
  }
  for (const ClaimDone& done : duplicates) {
    done(InProgressResult());
  }
}

}  // namespace tanagervane
