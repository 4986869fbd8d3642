// Dispatcher: final answers, reports, cancellation and shutdown.

#include <algorithm>
#include <array>
#include <string_view>
#include <utility>
#include <vector>

#include "tanagervane/serving/dispatcher.h"
#include "tanagervane/serving/top_records.h"

namespace tanagervane {

namespace {

/// Time after which a caller may retry when replicas rejected its request, and
/// when it was refused for another reason.
constexpr Millis kShedRetryAfter{60};
constexpr Millis kOtherRetryAfter{200};

/// Whether callers take the status as a promise that the request did not run. A
/// reply with such a status that lacks the replica's statement that it did not
/// run the request must not be forwarded, because the request may have run.
bool PromisesNotRun(unsigned status) {
  static constexpr std::array<unsigned, 4> kNotRunStatuses = {408, 421, 429,
                                                              503};
  return std::ranges::find(kNotRunStatuses, status) != kNotRunStatuses.end();
}

}  // namespace

FinalAnswer Dispatcher::MakeMerged(const Request& request) {
  FinalAnswer answer;
  answer.kind = AnswerKind::kMerged;
  std::vector<std::string_view> bodies;
  for (const SubRequest& sub_request : request.sub_requests) {
    if (sub_request.state != SubRequestState::kAnswered) {
      answer.reason = sub_request.failure_reason == AnswerReason::kNone
                          ? AnswerReason::kTooSlow
                          : sub_request.failure_reason;
      continue;
    }
    answer.signatures.push_back(sub_request.reply.signature);
    bodies.push_back(sub_request.reply.body);
  }
  answer.missing_shards = static_cast<uint32_t>(request.sub_requests.size() -
                                                answer.signatures.size());
  answer.records = MergeTopRecords(bodies, request.route->spec.top_records);
  return answer;
}

FinalAnswer Dispatcher::MakeFailure(Request& request, Millis now) const {
  FinalAnswer answer;
  bool may_have_run = false;
  answer.reason = AnswerReason::kTooSlow;
  for (const SubRequest& sub_request : request.sub_requests) {
    may_have_run = may_have_run || sub_request.may_have_run ||
                   !sub_request.open_attempts.empty() ||
                   sub_request.state == SubRequestState::kAnswered;
    if (sub_request.state == SubRequestState::kFailed) {
      answer.reason = sub_request.failure_reason;
    }
  }
  if (!may_have_run) {
    answer.kind = AnswerKind::kRefused;
    answer.retry_after = answer.reason == AnswerReason::kShed
                             ? kShedRetryAfter
                             : kOtherRetryAfter;
    return answer;
  }
  SubRequest& first = request.sub_requests.front();
  if (!request.route->spec.is_fanout() && first.failure_reply &&
      !PromisesNotRun(first.failure_reply->status)) {
    answer.kind = AnswerKind::kReply;
    answer.reply = std::move(*first.failure_reply);
    return answer;
  }
  answer.kind =
      now >= request.deadline ? AnswerKind::kTimedOut : AnswerKind::kFailed;
  return answer;
}

FinalAnswer Dispatcher::MakeAnswer(Request& request, Millis now) const {
  if (request.answered_count < request.route->needed_sub_requests) {
    return MakeFailure(request, now);
  }
  if (request.route->spec.is_fanout()) {
    return MakeMerged(request);
  }
  FinalAnswer answer;
  answer.kind = AnswerKind::kReply;
  answer.reply = std::move(request.sub_requests.front().reply);
  return answer;
}

void Dispatcher::Finish(Request& request, Millis now) {
  FinalAnswer answer = MakeAnswer(request, now);
  answer.key = request.key;
  m_timers.erase({request.timer_at.count(), request.key});
  const auto node = m_requests.extract(request.key);
  const bool cancel =
      m_options.policy.cancel_failed && answer.kind == AnswerKind::kFailed;
  ReleaseAttempts(request, now,
                  cancel ? ReleaseCause::kFailed : ReleaseCause::kAnswered);
  Report(request, answer, now, false);
  // Must be last: the hook may submit the caller's next request.
  m_hooks.answer(answer);
}

void Dispatcher::Report(const Request& request,
                        const FinalAnswer& answer,
                        Millis now,
                        bool abandoned) {
  RequestReport report;
  report.request = request.caller_request.get();
  report.route = request.route->spec.name;
  report.config_version = request.plan->version();
  report.kind = answer.kind;
  report.reason = answer.reason;
  report.replica_status = answer.reply.status;
  report.elapsed = now - request.arrived_at;
  report.objective = request.objective_deadline - request.arrived_at;
  report.time_left_on_arrival = request.deadline - request.arrived_at;
  report.answered_sub_requests = request.answered_count;
  report.sub_requests = static_cast<uint32_t>(request.sub_requests.size());
  report.extra_attempts = request.extra_attempts;
  report.abandoned = abandoned;
  report.trace = &request.trace;
  m_hooks.on_finished(report);
}

void Dispatcher::Cancel(RequestKey key, Millis now) {
  const auto it = m_requests.find(key);
  if (it == m_requests.end()) {
    return;
  }
  Request& request = *it->second;
  if (request.awaits_permit) {
    m_hooks.cancel_permit(key);
  }
  m_timers.erase({request.timer_at.count(), request.key});
  const auto node = m_requests.extract(it);
  ReleaseAttempts(request, now, ReleaseCause::kAbandoned);
  FinalAnswer answer;
  answer.reason = AnswerReason::kCallerGone;
  Report(request, answer, now, true);
}

void Dispatcher::Stop(Millis now) {
  RefuseAllParked(AnswerReason::kStopping);
  while (!m_requests.empty()) {
    Request& request = *m_requests.begin()->second;
    for (size_t i = 0; i < request.sub_requests.size(); ++i) {
      if (request.sub_requests[i].state == SubRequestState::kOpen) {
        FailSubRequest(request, i, AnswerReason::kStopping);
      }
    }
    Finish(request, now);
  }
}

}  // namespace tanagervane
