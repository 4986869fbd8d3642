// OrderLedger: reads, writes and deletions of buckets on the platform.

#include <algorithm>
#include <iterator>
#include <utility>

#include "claim_results.h"
#include "tanagervane/state/order_ledger.h"
#include "tanagervane/support/log.h"

namespace tanagervane {

namespace {

constexpr char kObjectKind[] = "orders";
/// The platform limits an object to 1 MB.
constexpr size_t kMaxObjectBytes = 900000;
constexpr Millis kCallTimeout{2000};
/// How long a cached object is assumed to be unchanged. After that, another
/// entry has probably written the object, and a read is cheaper than a write
/// that conflicts.
constexpr Millis kCacheLifetime{20};
constexpr double kInitialBackoffMs = 20;
constexpr double kMaxBackoffMs = 1000;
/// Claims are refused after this many consecutive failed calls.
constexpr uint32_t kUnreachableFailures = 3;

}  // namespace

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
  OrderRecords records;
  const bool found = result == PlatformResult::kOk;
  if (found && !ParseOrderRecords(object.value, records)) {
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
    MergeKnownRecords(bucket.records, records);
  }
  bucket.records = std::move(records);
  bucket.version = version;
  bucket.cached = true;
  bucket.cache_valid_until = now + kCacheLifetime;
  bucket.read_since_write = true;
  bucket.failures = 0;
  StartNextCall(id, now);
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
  OrderRecords records = bucket.records;
  size_t bytes = 0;
  for (const auto& [key, record] : records) {
    bytes += OrderRecordBytes(key, record);
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

void OrderLedger::Put(const BucketId& id, OrderRecords records, Millis now) {
  Bucket& bucket = m_buckets[id];
  std::string value = FormatOrderRecords(records);
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
                                            OrderRecords& records,
                                            size_t& bytes,
                                            ClaimResult& claim_result) const {
  if (operation.kind == OperationKind::kClaim) {
    return ApplyClaim(operation, records, bytes, claim_result);
  }
  const std::string name = OrderRecordName(operation.key);
  const auto it = records.find(name);
  const bool finish = operation.kind == OperationKind::kFinish;
  if (it == records.end() && !finish) {
    return ApplyResult::kUnchanged;
  }
  if (it != records.end() && (it->second.nonce != operation.nonce ||
                              it->second.state != OrderRecordState::kClaimed)) {
    return ApplyResult::kUnchanged;
  }
  OrderRecord& record = records[name];
  bytes -= it != records.end() ? OrderRecordBytes(name, record) : 0;
  record.digest = operation.digest != 0 ? operation.digest : record.digest;
  record.holder = m_options.self_id;
  record.nonce = operation.nonce;
  record.state = finish ? OrderRecordState::kDone : OrderRecordState::kReleased;
  record.result = finish ? operation.result : "";
  if (bytes + OrderRecordBytes(name, record) > kMaxObjectBytes) {
    record.result.clear();
  }
  bytes += OrderRecordBytes(name, record);
  return ApplyResult::kChanged;
}

OrderLedger::ApplyResult OrderLedger::ApplyClaim(
    const Operation& operation,
    OrderRecords& records,
    size_t& bytes,
    ClaimResult& claim_result) const {
  const std::string name = OrderRecordName(operation.key);
  const OrderRecord claim = {operation.digest, m_options.self_id,
                             operation.nonce, OrderRecordState::kClaimed, ""};
  const auto it = records.find(name);
  if (it != records.end() && it->second.state != OrderRecordState::kReleased) {
    const OrderRecord& record = it->second;
    if (record.digest != operation.digest) {
      claim_result = KeyReusedResult();
      return ApplyResult::kRefused;
    }
    if (record.state == OrderRecordState::kDone) {
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
      it != records.end() ? OrderRecordBytes(name, it->second) : 0;
  const size_t new_bytes = bytes - old_bytes + OrderRecordBytes(name, claim);
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

}  // namespace tanagervane
