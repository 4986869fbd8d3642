#include "tanagervane/state/order_ledger.h"

#include <algorithm>
#include <cassert>
#include <iterator>
#include <string_view>
#include <utility>

#include "fmt/format.h"
#include "nlohmann/json.hpp"
#include "tanagervane/support/hash.h"
#include "tanagervane/support/log.h"

namespace tanagervane {

namespace {

constexpr char kObjectKind[] = "orders";
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
/// The platform limits an object to 1 MB.
constexpr size_t kMaxObjectBytes = 900000;
/// Bytes reserved for the result of each claim, so that results can still be
/// recorded in a full object.
constexpr size_t kReservedResultBytes = 256;
/// JSON syntax, digest, nonce and state of one record.
constexpr size_t kRecordOverheadBytes = 120;
constexpr Millis kCallTimeout{2000};
constexpr Millis kMaintenanceInterval{60000};
/// How long a result is held back so that it can share the write of a claim. A
/// duplicate that reaches another entry within this time gets kOutcomeUnknown
/// instead of the result.
constexpr Millis kResultDelay{200};
/// How long a cached object is assumed to be unchanged. After that, another
/// entry has probably written the object, and a read is cheaper than a write
/// that conflicts.
constexpr Millis kCacheLifetime{20};
constexpr double kInitialBackoffMs = 20;
constexpr double kMaxBackoffMs = 1000;
/// Claims are refused after this many consecutive failed calls.
constexpr uint32_t kUnreachableFailures = 3;

/// Writes bytes that JSON escapes, or rejects as invalid UTF-8, as %XX.
std::string PercentEncode(std::string_view bytes) {
  std::string text;
  for (const char c : bytes) {
    if (c < ' ' || c > '~' || c == '%' || c == '"' || c == '\\') {
      text += fmt::format("%{:02x}", static_cast<unsigned char>(c));
    } else {
      text += c;
    }
  }
  return text;
}

std::string PercentDecode(std::string_view text) {
  const auto digit = [](char c) { return c <= '9' ? c - '0' : c - 'a' + 10; };
  std::string bytes;
  for (size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '%' && i + 2 < text.size()) {
      bytes += static_cast<char>(digit(text[i + 1]) * 16 + digit(text[i + 2]));
      i += 2;
    } else {
      bytes += text[i];
    }
  }
  return bytes;
}

ClaimResult RefusedResult(ErrorCode code,
                          std::string_view detail,
                          Outcome outcome = Outcome::kNotRun) {
  ClaimResult result;
  result.status = MakeError(code, detail);
  result.outcome = outcome;
  return result;
}

ClaimResult MakeClaimResult(ClaimResult::Kind kind, Outcome outcome) {
  ClaimResult result;
  result.kind = kind;
  result.outcome = outcome;
  return result;
}

ClaimResult AlreadyDoneResult(std::string result) {
  ClaimResult claim_result =
      MakeClaimResult(ClaimResult::Kind::kAlreadyDone, Outcome::kRan);
  claim_result.result = std::move(result);
  return claim_result;
}

ClaimResult InProgressResult() {
  return MakeClaimResult(ClaimResult::Kind::kOutcomeUnknown, Outcome::kUnknown);
}

ClaimResult KeyExpiredResult() {
  return RefusedResult(ErrorCode::kIdempotencyKeyExpired,
                       "the order key has expired: it was issued too long ago",
                       Outcome::kUnknown);
}

ClaimResult KeyReusedResult() {
  return RefusedResult(ErrorCode::kIdempotencyKeyReused,
                       "the order key was already used with another payload");
}

ClaimResult DeadlineExceededResult() {
  return RefusedResult(ErrorCode::kDeadlineExceeded,
                       "the order claim was not confirmed before its deadline");
}

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

void OrderLedger::StartNextCall(const BucketId& id, Millis now) {
  const auto it = m_buckets.find(id);
  if (it == m_buckets.end()) {
    return;
  }
  Bucket& bucket = it->second;
  if (bucket.call.active() || bucket.in_write || now < bucket.next_call) {
    return;
  }
  if (bucket.deleting) {
    Delete(id, now);
  } else if (!bucket.queued.empty() && now >= EarliestStart(bucket)) {
    if (bucket.cached && now < bucket.cache_valid_until) {
      Write(id, now);
    } else {
      Read(id, now);
    }
  }
}

/// Returns the earliest `not_before` of the queued operations. The write that
/// starts then includes all of them.
Millis OrderLedger::EarliestStart(const Bucket& bucket) {
  Millis due = bucket.queued.front().not_before;
  for (const Operation& operation : bucket.queued) {
    due = std::min(due, operation.not_before);
  }
  return due;
}

bool OrderLedger::HasPendingWrites() const {
  return std::any_of(m_buckets.begin(), m_buckets.end(), [](const auto& item) {
    return !item.second.queued.empty() || !item.second.writing.empty();
  });
}

void OrderLedger::Read(const BucketId& id, Millis now) {
  Bucket& bucket = m_buckets[id];
  m_platform.get(
      kObjectKind, ObjectName(id),
      bucket.call.Start(
          now + kCallTimeout,
          PlatformApi::ObjectDone(
              [this, id](PlatformResult result, const PlatformObject& object) {
                OnRead(id, result, object);
              })));
}

void OrderLedger::OnRead(const BucketId& id,
                         PlatformResult result,
                         const PlatformObject& object) {
  const Millis now = m_clock();
  Bucket& bucket = m_buckets[id];
  Records records;
  const bool found = result == PlatformResult::kOk;
  if (found && !Parse(object.value, records)) {
    // A malformed object is never overwritten, because it may hold claims.
    LogEvent("order_object_malformed").Field("name", ObjectName(id));
    OnCallFailure(id, now);
    return;
  }
  if (!found && result != PlatformResult::kNotFound) {
    OnCallFailure(id, now);
    return;
  }
  const uint64_t version = found ? object.version : 0;
  if (version < bucket.version) {
    // The read is stale or the object was lost. Records that this entry has
    // seen remain valid.
    MergeKnown(bucket.records, records);
  }
  bucket.records = std::move(records);
  bucket.version = version;
  bucket.cached = true;
  bucket.cache_valid_until = now + kCacheLifetime;
  bucket.read_since_write = true;
  bucket.failures = 0;
  StartNextCall(id, now);
}

void OrderLedger::MergeKnown(const Records& known, Records& records) {
  for (const auto& [key, record] : known) {
    const auto [it, added] = records.try_emplace(key, record);
    if (!added && record.state == RecordState::kDone) {
      it->second = record;
    }
  }
}

/// Returns true if the operation must not be part of the next write. An
/// answered claim that may have been written becomes a release.
bool OrderLedger::MustDropBeforeWrite(Operation& operation, Millis now) {
  if (operation.kind != OperationKind::kClaim) {
    return Expired(operation.key);
  }
  if (!operation.done) {
    if (operation.maybe_written) {
      operation.kind = OperationKind::kRelease;
      return false;
    }
    return true;
  }
  return Expired(operation.key) || now >= operation.deadline;
}

void OrderLedger::Write(const BucketId& id, Millis now) {
  Bucket& bucket = m_buckets[id];
  // Callbacks below may enqueue operations; these become part of the next
  // write.
  bucket.in_write = true;
  Operations operations = std::exchange(bucket.queued, {});
  Operations unchanged;
  std::vector<std::pair<Operation, ClaimResult>> refused;
  Records records = bucket.records;
  size_t bytes = 0;
  for (const auto& [key, record] : records) {
    bytes += RecordBytes(key, record);
  }
  while (!operations.empty()) {
    Operation operation = std::move(operations.front());
    operations.pop_front();
    ClaimResult claim_result;
    if (MustDropBeforeWrite(operation, now)) {
      claim_result = Expired(operation.key) ? KeyExpiredResult()
                                            : DeadlineExceededResult();
      refused.emplace_back(std::move(operation), std::move(claim_result));
      continue;
    }
    switch (Apply(operation, records, bytes, claim_result)) {
      case ApplyResult::kChanged:
        bucket.writing.push_back(std::move(operation));
        break;
      case ApplyResult::kUnchanged:
        unchanged.push_back(std::move(operation));
        break;
      case ApplyResult::kClaimedByOther:
        if (!bucket.read_since_write) {
          // The other claim may have finished since the last read.
          bucket.cached = false;
          bucket.queued.push_back(std::move(operation));
          break;
        }
        [[fallthrough]];
      case ApplyResult::kRefused:
        refused.emplace_back(std::move(operation), std::move(claim_result));
        break;
    }
  }
  bucket.read_since_write = false;
  if (!bucket.cached) {
    // The changes of this pass are applied again after the read.
    ReturnToQueue(bucket, false);
  } else if (!bucket.writing.empty()) {
    Put(id, std::move(records), now);
  }
  for (Operation& operation : unchanged) {
    Confirm(operation, now);
  }
  for (auto& [operation, claim_result] : refused) {
    Refuse(operation, claim_result);
  }
  bucket.in_write = false;
  StartNextCall(id, now);
}

void OrderLedger::Put(const BucketId& id, Records records, Millis now) {
  Bucket& bucket = m_buckets[id];
  std::string value = Format(records);
  bucket.records_in_write = std::move(records);
  m_platform.put(
      kObjectKind, ObjectName(id), bucket.version, std::move(value),
      bucket.call.Start(
          now + kCallTimeout,
          PlatformApi::ObjectDone(
              [this, id](PlatformResult result, const PlatformObject& object) {
                OnWrite(id, result, object.version);
              })));
}

OrderLedger::ApplyResult OrderLedger::Apply(const Operation& operation,
                                            Records& records,
                                            size_t& bytes,
                                            ClaimResult& claim_result) const {
  if (operation.kind == OperationKind::kClaim) {
    return ApplyClaim(operation, records, bytes, claim_result);
  }
  const std::string name = fmt::format(
      "{}@{}", PercentEncode(operation.key.key), operation.key.issued_at.count);
  const auto it = records.find(name);
  const bool finish = operation.kind == OperationKind::kFinish;
  if (it == records.end() && !finish) {
    return ApplyResult::kUnchanged;
  }
  if (it != records.end() && (it->second.nonce != operation.nonce ||
                              it->second.state != RecordState::kClaimed)) {
    return ApplyResult::kUnchanged;
  }
  Record& record = records[name];
  bytes -= it != records.end() ? RecordBytes(name, record) : 0;
  record.digest = operation.digest != 0 ? operation.digest : record.digest;
  record.holder = m_options.self_id;
  record.nonce = operation.nonce;
  record.state = finish ? RecordState::kDone : RecordState::kReleased;
  record.result = finish ? operation.result : "";
  if (bytes + RecordBytes(name, record) > kMaxObjectBytes) {
    record.result.clear();
  }
  bytes += RecordBytes(name, record);
  return ApplyResult::kChanged;
}

OrderLedger::ApplyResult OrderLedger::ApplyClaim(
    const Operation& operation,
    Records& records,
    size_t& bytes,
    ClaimResult& claim_result) const {
  const std::string name = fmt::format(
      "{}@{}", PercentEncode(operation.key.key), operation.key.issued_at.count);
  const Record claim = {operation.digest, m_options.self_id, operation.nonce,
                        RecordState::kClaimed, ""};
  const auto it = records.find(name);
  if (it != records.end() && it->second.state != RecordState::kReleased) {
    const Record& record = it->second;
    if (record.digest != operation.digest) {
      claim_result = KeyReusedResult();
      return ApplyResult::kRefused;
    }
    if (record.state == RecordState::kDone) {
      claim_result = AlreadyDoneResult(record.result);
      return ApplyResult::kRefused;
    }
    if (record.nonce == operation.nonce) {
      return ApplyResult::kUnchanged;
    }
    claim_result = InProgressResult();
    return ApplyResult::kClaimedByOther;
  }
  const size_t old_bytes =
      it != records.end() ? RecordBytes(name, it->second) : 0;
  const size_t new_bytes = bytes - old_bytes + RecordBytes(name, claim);
  if (new_bytes > kMaxObjectBytes) {
    claim_result =
        RefusedResult(ErrorCode::kOverloaded,
                      "the store has no room for more orders of this period; "
                      "retry later with a new key");
    return ApplyResult::kRefused;
  }
  bytes = new_bytes;
  records[name] = claim;
  return ApplyResult::kChanged;
}

void OrderLedger::OnWrite(const BucketId& id,
                          PlatformResult result,
                          uint64_t version) {
  const Millis now = m_clock();
  Bucket& bucket = m_buckets[id];
  switch (result) {
    case PlatformResult::kOk: {
      bucket.records = std::exchange(bucket.records_in_write, {});
      bucket.version = version;
      bucket.cache_valid_until = now + kCacheLifetime;
      bucket.failures = 0;
      Operations confirmed = std::exchange(bucket.writing, {});
      for (Operation& operation : confirmed) {
        Confirm(operation, now);
      }
      StartNextCall(id, now);
      return;
    }
    case PlatformResult::kConflict:
      ReturnToQueue(bucket, false);
      bucket.cached = false;
      StartNextCall(id, now);
      return;
    case PlatformResult::kUnavailable:
      ReturnToQueue(bucket, false);
      OnCallFailure(id, now);
      return;
    default:
      ReturnToQueue(bucket, true);
      bucket.cached = false;
      OnCallFailure(id, now);
      return;
  }
}

void OrderLedger::ReturnToQueue(Bucket& bucket, bool maybe_written) {
  for (Operation& operation : bucket.writing) {
    operation.maybe_written = operation.maybe_written || maybe_written;
  }
  bucket.writing.insert(bucket.writing.end(),
                        std::make_move_iterator(bucket.queued.begin()),
                        std::make_move_iterator(bucket.queued.end()));
  bucket.queued = std::exchange(bucket.writing, {});
}

void OrderLedger::OnCallFailure(const BucketId& id, Millis now) {
  Bucket& bucket = m_buckets[id];
  const double max_delay_ms =
      std::min(kMaxBackoffMs,
               kInitialBackoffMs *
                   static_cast<double>(1U << std::min(bucket.failures, 10U)));
  bucket.next_call =
      now + Millis(max_delay_ms * (0.5 + 0.5 * m_random.NextDouble()));
  if (++bucket.failures < kUnreachableFailures) {
    return;
  }
  Operations kept;
  std::vector<Operation> refused;
  for (Operation& operation : bucket.queued) {
    if (operation.kind == OperationKind::kClaim && operation.done) {
      refused.push_back(std::move(operation));
    } else {
      kept.push_back(std::move(operation));
    }
  }
  bucket.queued = std::move(kept);
  for (Operation& operation : refused) {
    Refuse(
        operation,
        RefusedResult(ErrorCode::kPlatformUnavailable,
                      "the order claim could not be written to the platform"));
  }
}

/// Answers a claim that was not granted, and its duplicates. After an expired
/// deadline a duplicate replaces the claim instead.
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

void OrderLedger::Delete(const BucketId& id, Millis now) {
  Bucket& bucket = m_buckets[id];
  if (bucket.failures > kUnreachableFailures) {
    m_buckets.erase(id);
    return;
  }
  const bool remove = bucket.cached;
  PlatformApi::ObjectDone done = bucket.call.Start(
      now + kCallTimeout,
      PlatformApi::ObjectDone([this, id, remove](PlatformResult result,
                                                 const PlatformObject& object) {
        Bucket& old = m_buckets[id];
        if (result == PlatformResult::kNotFound ||
            (remove && result == PlatformResult::kOk)) {
          m_buckets.erase(id);
        } else if (!remove && result == PlatformResult::kOk) {
          old.version = object.version;
          old.cached = true;
          Delete(id, m_clock());
        } else {
          old.cached = false;
          OnCallFailure(id, m_clock());
        }
      }));
  if (remove) {
    m_platform.remove(kObjectKind, ObjectName(id), bucket.version,
                      std::move(done));
  } else {
    m_platform.get(kObjectKind, ObjectName(id), std::move(done));
  }
}

size_t OrderLedger::RecordBytes(const std::string& key, const Record& record) {
  const size_t reserve =
      record.state == RecordState::kClaimed ? kReservedResultBytes : 0;
  return kRecordOverheadBytes + key.size() +
         PercentEncode(record.holder).size() + record.nonce.size() +
         std::max(reserve, PercentEncode(record.result).size());
}

std::string OrderLedger::Format(const Records& records) {
  nlohmann::json json = nlohmann::json::object();
  for (const auto& [key, record] : records) {
    json[key] = nlohmann::json::array(
        {record.digest, PercentEncode(record.holder), record.nonce,
         static_cast<int>(record.state), PercentEncode(record.result)});
  }
  return json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

bool OrderLedger::Parse(const std::string& value, Records& records) {
  const auto json = nlohmann::json::parse(value, nullptr, false);
  if (!json.is_object()) {
    return false;
  }
  for (const auto& [key, item] : json.items()) {
    if (!item.is_array() || item.size() != 5 || !item[0].is_number_unsigned() ||
        !item[1].is_string() || !item[2].is_string() ||
        !item[3].is_number_unsigned() || item[3] > 2 || !item[4].is_string()) {
      return false;
    }
    records[key] = {item[0].get<uint64_t>(),
                    PercentDecode(item[1].get<std::string>()),
                    item[2].get<std::string>(),
                    static_cast<RecordState>(item[3].get<int>()),
                    PercentDecode(item[4].get<std::string>())};
  }
  return true;
}

}  // namespace tanagervane
