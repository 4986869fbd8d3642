// Caller requests, replica replies, final answers and request reports.

#ifndef TANAGERVANE_SERVING_EXCHANGE_H_
#define TANAGERVANE_SERVING_EXCHANGE_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "tanagervane/http/message.h"
#include "tanagervane/serving/replica_set.h"
#include "tanagervane/serving/self_report.h"
#include "tanagervane/support/millis.h"

namespace tanagervane {

/// Identifies a running request within this process.
using RequestKey = uint64_t;

/// A caller's request after validation.
struct CallerRequest {
  /// Id that the caller assigned to this caller attempt, which is one sending
  /// of its request.
  std::string id;
  std::string method;
  std::string host;
  std::string target;
  std::string body;
  /// Header lines that are forwarded unchanged, each ended by CRLF.
  std::string forwarded_fields;
  /// Time for which the caller waits for the answer, if it sent one.
  std::optional<Millis> time_left;
  /// Name of the tenant whose key the caller presented; empty if the request
  /// needs no key. The key itself is not kept.
  std::string tenant;
};

/// Classification of a replica's response.
enum class ReplyKind {
  kSuccess,      ///< The request ran; the response is complete.
  kFailed,       ///< The request ran and failed.
  kRejected,     ///< The replica states that it did not run the request.
  kMisdirected,  ///< Another replica now has the address; the request did not
                 ///< run.
  kCorrupt,      ///< The response is unusable; the request may have run.
};

struct ReplicaReply {
  ReplyKind kind = ReplyKind::kCorrupt;
  unsigned status = 0;
  /// The replica's signature of the response. A merged answer lists the
  /// signatures of its shards.
  std::string signature;
  HttpFields fields;
  std::string body;
  SelfReport self_report;
  /// Held as long as the reply, to account for its memory. May be nullptr.
  std::shared_ptr<const void> memory_charge;
};

/// How a request ended.
enum class AnswerKind {
  kReply,     ///< A replica's response, forwarded unchanged.
  kMerged,    ///< The merged shard responses of a fan-out.
  kRefused,   ///< The request did not run and will not run.
  kFailed,    ///< No usable response; the request may have run.
  kTimedOut,  ///< No response before the deadline; the request may have run.
  kUnknownRoute,     ///< The configuration in force has no such route.
  kUnauthenticated,  ///< The request lacks a known key.
  kOverLimit  ///< Beyond the tenant's rate limit; the request will not run.
};

std::string_view ToString(AnswerKind kind);

/// Why an answer is not a full success.
enum class AnswerReason {
  kNone,
  kNoConfig,     ///< No configuration is known yet.
  kNoReplica,    ///< Too few shards have a usable replica.
  kOverloaded,   ///< The estimated wait for a slot is too long.
  kRateLimited,  ///< Replicas take no more requests now, as they have stated.
  kQuarantined,  ///< The request crashed the replicas that ran it.
  kExpired,      ///< The caller's deadline had passed on arrival.
  kShed,         ///< Replicas rejected the request.
  kReplicaFailed,
  kConnectionLost,
  kNoRetryBudget,  ///< The service's retry budget was spent.
  kTooSlow,        ///< Replicas did not answer in time.
  kStopping,
  kCallerGone,      ///< The caller cancelled or disconnected.
  kUnknownKey,      ///< The request has no key or an unknown one.
  kConfigUnproved,  ///< The configuration may be too old to decide on keys.
  kTenantLimit,     ///< The tenant has used its allowance.
  kNoPermit,        ///< No VM could grant a permit for the tenant's request.
};

std::string_view ToString(AnswerReason reason);

struct FinalAnswer {
  RequestKey key = 0;
  AnswerKind kind = AnswerKind::kFailed;
  AnswerReason reason = AnswerReason::kNone;
  /// For kReply.
  ReplicaReply reply;
  /// For kMerged: the signature of each shard response in the answer.
  std::vector<std::string> signatures;
  uint32_t missing_shards = 0;
  std::string records;
  /// For kRefused and kOverLimit: time after which a retry may succeed.
  Millis retry_after;
};

/// One step in the processing of a request, kept for its report.
struct TraceEvent {
  enum class Type : uint8_t {
    kSent,
    kHedged,
    kRetried,
    kAnswered,
    kReplicaFailed,
    kRejected,
    kMisdirected,
    kCorrupt,
    kConnectFailed,
    kConnectionLost,
    kNoReplica,
    kReplicasFull,
    kRateLimited,
    kNoRetryBudget,
    kSkipped,
    kReopened,
  };
  Type type = Type::kSent;
  uint16_t sub_request = 0;
  /// Time since the request arrived.
  Millis elapsed;
  std::shared_ptr<const ServingReplica> replica;
};

std::string_view ToString(TraceEvent::Type type);

/// Summary of a finished request, for logs and metrics.
struct RequestReport {
  const CallerRequest* request = nullptr;
  std::string_view route;
  uint64_t config_version = 0;
  AnswerKind kind = AnswerKind::kFailed;
  AnswerReason reason = AnswerReason::kNone;
  unsigned replica_status = 0;
  Millis elapsed;
  Millis objective;
  Millis time_left_on_arrival;
  uint32_t answered_sub_requests = 0;
  uint32_t sub_requests = 0;
  uint32_t extra_attempts = 0;
  bool abandoned = false;
  const std::vector<TraceEvent>* trace = nullptr;
};

}  // namespace tanagervane

#endif  // TANAGERVANE_SERVING_EXCHANGE_H_
