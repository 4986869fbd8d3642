// Requests of callers, replies of replicas and answers.

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
#include "tanagervane/support/millis.h"

namespace tanagervane {

/// Names a request within this process.
using RequestKey = uint64_t;

/// A caller's request after its form was checked.
struct CallerRequest {
  /// The id that the caller gave to this attempt of its own.
  std::string id;
  std::string method;
  std::string host;
  std::string target;
  std::string body;
  /// Header lines that are forwarded unchanged, each ended by CRLF.
  std::string forwarded_fields;
  /// How long the caller waits, when it says so.
  std::optional<Millis> time_left;
};

/// What a replica's response says about the request.
enum class ReplyKind {
  kSuccess,      ///< The whole response of a run.
  kFailed,       ///< It ran and failed.
  kRejected,     ///< The replica states that it did not run it.
  kMisdirected,  ///< Another replica has the address; it did not run it.
  kCorrupt,      ///< No usable response; it may have run.
};

struct ReplicaReply {
  ReplyKind kind = ReplyKind::kCorrupt;
  unsigned status = 0;
  /// The replica's signature of a response; names a part in a merged answer.
  std::string signature;
  HttpFields fields;
  std::string body;
  std::optional<LoadReport> load;
};

/// How a request ended.
enum class AnswerKind {
  kReply,        ///< A replica's response, passed on unchanged.
  kMerged,       ///< The merged parts of a fan-out.
  kRefused,      ///< Not run, and never will be.
  kFailed,       ///< It may have run; no usable response.
  kTimedOut,     ///< No response in time; it may have run.
  kUnknownRoute  ///< The configuration in force has no such route.
};

std::string_view ToString(AnswerKind kind);

/// Why an answer is not a full success.
enum class AnswerReason {
  kNone,
  kNoConfig,     ///< No configuration is known yet.
  kNoReplica,    ///< Too few shards have a usable replica.
  kOverloaded,   ///< It would wait for a slot for too long.
  kQuarantined,  ///< It crashed the replicas that ran it.
  kExpired,      ///< Its time had passed on arrival.
  kShed,         ///< Replicas rejected it.
  kReplicaFailed,
  kConnectionLost,
  kNoAllowance,  ///< The allowance for extra sends was spent.
  kTooSlow,      ///< Replicas did not answer in time.
  kStopping,
};

std::string_view ToString(AnswerReason reason);

struct FinalAnswer {
  RequestKey key = 0;
  AnswerKind kind = AnswerKind::kFailed;
  AnswerReason reason = AnswerReason::kNone;
  /// For kReply.
  ReplicaReply reply;
  /// For kMerged: one signature for each part that is in.
  std::vector<std::string> signatures;
  uint32_t missing_parts = 0;
  std::string records;
  /// For kRefused: when it pays to come back.
  Millis retry_after;
};

/// One decision about a request, kept until it ends.
struct TraceEvent {
  enum class What : uint8_t {
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
    kNoRoom,
    kNoAllowance,
    kSkipped,
  };
  What what = What::kSent;
  uint16_t part = 0;
  /// Time since the request arrived.
  Millis after;
  std::shared_ptr<const ServingReplica> replica;
};

std::string_view ToString(TraceEvent::What what);

/// What is told of a request when it has ended.
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
  uint32_t parts_done = 0;
  uint32_t parts = 0;
  uint32_t extra_sends = 0;
  bool caller_gone = false;
  const std::vector<TraceEvent>* trace = nullptr;
};

}  // namespace tanagervane

#endif  // TANAGERVANE_SERVING_EXCHANGE_H_
