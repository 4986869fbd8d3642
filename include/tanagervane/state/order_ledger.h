// Claims that let an order run at most once across all entries.

#ifndef TANAGERVANE_STATE_ORDER_LEDGER_H_
#define TANAGERVANE_STATE_ORDER_LEDGER_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "absl/status/status.h"
#include "tanagervane/state/order_records.h"
#include "tanagervane/state/pending_call.h"
#include "tanagervane/state/platform_api.h"
#include "tanagervane/support/error.h"
#include "tanagervane/support/millis.h"
#include "tanagervane/support/random.h"
#include "tanagervane/support/wall_millis.h"

namespace tanagervane {

struct ClaimResult {
  enum class Kind {
    kGranted,      ///< The caller sends the order now, once.
    kAlreadyDone,  ///< The order ran; `result` is its recorded result.
    /// The order is claimed and has no recorded result: it is in progress, or
    /// its outcome is unknown.
    kOutcomeUnknown,
    kRefused,  ///< See `status` and `outcome`.
  };
  Kind kind = Kind::kRefused;
  /// The recorded result. Also empty if the result was too large to record.
  std::string result;
  /// kIdempotencyKeyExpired, kIdempotencyKeyReused, kOverloaded,
  /// kPlatformUnavailable, kDeadlineExceeded or kInvalidRequest.
  absl::Status status;
  Outcome outcome = Outcome::kNotRun;
};

/// Stores claims and results of orders in objects of the platform, called
/// buckets. Operations on the same bucket share writes, and each bucket has at
/// most one call in flight.
class OrderLedger {
 public:
  struct Options {
    std::string team;
    std::string self_id;
    uint64_t incarnation = 0;
    uint64_t seed = 0;
  };
  using ClaimDone = std::function<void(const ClaimResult&)>;

  OrderLedger(Options options,
              PlatformApi platform,
              ClockHook clock,
              WallClockHook wall_clock);

  /// Claims an order. Calls `done` once, at the latest in the first OnTick()
  /// after `deadline`, and possibly before Claim() returns. After kGranted the
  /// caller checks the deadline again before it sends the order, and then calls
  /// RecordResult() or Release(), or MarkOutcomeUnknown() if the outcome is
  /// unknown. A claim of an order that this entry has already claimed waits for
  /// the result of the first claim.
  void Claim(const OrderKey& key,
             uint64_t digest,
             Millis deadline,
             ClaimDone done);

  /// Records the result of an order that ran. While the platform is
  /// unavailable, the result is kept until it can be written.
  void RecordResult(const OrderKey& key, std::string result);

  /// Releases the claim of an order that was not sent and will not be sent.
  void Release(const OrderKey& key);

  /// Gives up a claim whose order may have run. Later claims of the key get
  /// kOutcomeUnknown until the key expires.
  void MarkOutcomeUnknown(const OrderKey& key);

  void OnTick(Millis now);
  /// Returns a time far in the future if nothing is pending.
  Millis NextTimer() const;

  /// True while claims, results or releases are not yet written. A stopping
  /// entry waits until this is false.
  bool HasPendingWrites() const;

  /// Number of buckets in the cache of this entry.
  size_t cached_objects() const { return m_buckets.size(); }

 private:
  enum class OperationKind { kClaim, kFinish, kRelease };
  /// A change of one record.
  struct Operation {
    OperationKind kind = OperationKind::kClaim;
    OrderKey key;
    uint64_t digest = 0;
    std::string nonce;
    std::string result;
    Millis deadline;
    /// The write may wait until this time, unless another operation of the
    /// bucket is due earlier.
    Millis not_before;
    /// The operation was part of a write with an unknown outcome.
    bool maybe_written = false;
    /// For claims only. Empty after the claim was answered; if the claim turns
    /// out to have been written, it is then released.
    ClaimDone done;
  };

  /// The claim of a key on this entry that is pending, granted, or done with a
  /// result that is not yet recorded. There is at most one for each key.
  struct ActiveClaim {
    /// A later claim of the same order.
    struct Duplicate {
      Millis deadline;
      ClaimDone done;
    };
    uint64_t digest = 0;
    std::string nonce;
    bool granted = false;
    bool done = false;
    std::string result;
    std::vector<Duplicate> duplicates;
  };

  using BucketId = std::pair<int64_t, uint32_t>;  // Epoch and bucket.
  using Operations = std::deque<Operation>;
  struct Bucket {
    /// Operations for the next write.
    Operations queued;
    /// Operations of the write in flight.
    Operations writing;
    /// The last known content of the object.
    OrderRecords records;
    /// The content that the write in flight stores.
    OrderRecords records_in_write;
    uint64_t version = 0;
    /// `records` and `version` may be used for a write.
    bool cached = false;
    /// Until this time a write starts without a read.
    Millis cache_valid_until;
    /// `records` were read since the last write.
    bool read_since_write = false;
    bool deleting = false;
    /// Write() is running.
    bool in_write = false;
    /// Number of consecutive failed calls.
    uint32_t failures = 0;
    Millis next_call;
    PendingCall call;
  };
  enum class ApplyResult { kChanged, kUnchanged, kRefused, kClaimedByOther };

  BucketId BucketIdOf(const OrderKey& key) const;
  std::string ObjectName(const BucketId& id) const;
  bool Expired(const OrderKey& key) const;
  void StartClaim(const OrderKey& key,
                  uint64_t digest,
                  Millis deadline,
                  ClaimDone done);
  void Enqueue(Operation operation, bool at_front);
  void EnqueueRelease(const OrderKey& key, const std::string& nonce);
  static Millis EarliestStart(const Bucket& bucket);
  /// Starts the next call of a bucket if one is due and none is in flight.
  void StartNextCall(const BucketId& id, Millis now);
  void Read(const BucketId& id, Millis now);
  void Write(const BucketId& id, Millis now);
  void Put(const BucketId& id, OrderRecords records, Millis now);
  void Delete(const BucketId& id, Millis now);
  void OnRead(const BucketId& id,
              PlatformResult result,
              const PlatformObject& object);
  void OnWrite(const BucketId& id, PlatformResult result, uint64_t version);
  void OnCallFailure(const BucketId& id, Millis now);
  static void ReturnToQueue(Bucket& bucket, bool maybe_written);
  /// Returns whether to drop the operation. Turns a claim without a caller
  /// that may have been written into a release.
  bool MustDropBeforeWrite(Operation& operation, Millis now);
  ApplyResult Apply(const Operation& operation,
                    OrderRecords& records,
                    size_t& bytes,
                    ClaimResult& claim_result) const;
  ApplyResult ApplyClaim(const Operation& operation,
                         OrderRecords& records,
                         size_t& bytes,
                         ClaimResult& claim_result) const;
  void Confirm(Operation& operation, Millis now);
  void Refuse(Operation& operation, const ClaimResult& claim_result);
  void PromoteDuplicate(const OrderKey& key);
  void ExpireClaims(Millis now);
  void DropExpired(Millis now);

  Options m_options;
  PlatformApi m_platform;
  ClockHook m_clock;
  WallClockHook m_wall_clock;
  Random m_random;
  std::map<BucketId, Bucket> m_buckets;
  std::map<OrderKey, ActiveClaim> m_active_claims;
  Millis m_next_maintenance;
  int64_t m_oldest_kept_epoch = 0;
};

}  // namespace tanagervane

#endif  // TANAGERVANE_STATE_ORDER_LEDGER_H_
