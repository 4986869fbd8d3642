// The ends of requests.

#include <algorithm>
#include <array>
#include <string_view>
#include <utility>
#include <vector>

#include "tanagervane/serving/dispatcher.h"
#include "tanagervane/serving/top_records.h"

namespace tanagervane {

namespace {

/// When a caller that was refused by busy replicas may come back.
constexpr Millis kShedRetryAfter{60};
constexpr Millis kOtherRetryAfter{200};

/// Statuses that promise that a request did not run. A replica that sends one
/// without stating that it did not run the request has made no such promise.
bool IsPromise(unsigned status) {
  static constexpr std::array<unsigned, 4> kPromises = {408, 421, 429, 503};
  return std::ranges::find(kPromises, status) != kPromises.end();
}

}  // namespace

FinalAnswer Dispatcher::MakeMerged(const Request& request) {
  FinalAnswer answer;
  answer.kind = AnswerKind::kMerged;
  std::vector<std::string_view> bodies;
  for (const Part& part : request.parts) {
    if (part.state != PartState::kDone) {
      answer.reason = part.reason == AnswerReason::kNone
                          ? AnswerReason::kTooSlow
                          : part.reason;
      continue;
    }
    answer.signatures.push_back(part.reply.signature);
    bodies.push_back(part.reply.body);
  }
  answer.missing_parts =
      static_cast<uint32_t>(request.parts.size() - answer.signatures.size());
  answer.records = MergeTopRecords(bodies, request.route->spec.top_records);
  return answer;
}

FinalAnswer Dispatcher::MakeFailure(Request& request, Millis now) const {
  FinalAnswer answer;
  bool may_have_run = false;
  answer.reason = AnswerReason::kTooSlow;
  for (const Part& part : request.parts) {
    may_have_run = may_have_run || part.may_have_run || !part.open.empty() ||
                   part.state == PartState::kDone;
    if (part.state == PartState::kGivenUp) {
      answer.reason = part.reason;
    }
  }
  if (!may_have_run) {
    answer.kind = AnswerKind::kRefused;
    answer.retry_after = answer.reason == AnswerReason::kShed
                             ? kShedRetryAfter
                             : kOtherRetryAfter;
    return answer;
  }
  Part& first = request.parts.front();
  if (!request.route->spec.is_fanout() && first.failure &&
      !IsPromise(first.failure->status)) {
    answer.kind = AnswerKind::kReply;
    answer.reply = std::move(*first.failure);
    return answer;
  }
  answer.kind =
      now >= request.deadline ? AnswerKind::kTimedOut : AnswerKind::kFailed;
  return answer;
}

FinalAnswer Dispatcher::MakeAnswer(Request& request, Millis now) const {
  if (request.done < request.route->needed_parts) {
    return MakeFailure(request, now);
  }
  if (request.route->spec.is_fanout()) {
    return MakeMerged(request);
  }
  FinalAnswer answer;
  answer.kind = AnswerKind::kReply;
  answer.reply = std::move(request.parts.front().reply);
  return answer;
}

void Dispatcher::Finish(Request& request, Millis now) {
  FinalAnswer answer = MakeAnswer(request, now);
  answer.key = request.key;
  m_timers.erase({request.timer.count(), request.key});
  const auto node = m_requests.extract(request.key);
  Release(request, now, false);
  Report(request, answer, now, false);
  // Last: the caller's next request may be submitted in the hook.
  m_hooks.answer(answer);
}

void Dispatcher::Report(const Request& request,
                        const FinalAnswer& answer,
                        Millis now,
                        bool caller_gone) {
  RequestReport report;
  report.request = request.caller.get();
  report.route = request.route->spec.name;
  report.config_version = request.plan->version();
  report.kind = answer.kind;
  report.reason = answer.reason;
  report.replica_status = answer.reply.status;
  report.elapsed = now - request.arrived;
  report.objective = request.objective_at - request.arrived;
  report.time_left_on_arrival = request.deadline - request.arrived;
  report.parts_done = request.done;
  report.parts = static_cast<uint32_t>(request.parts.size());
  report.extra_sends = request.extra_sends;
  report.caller_gone = caller_gone;
  report.trace = &request.trace;
  m_hooks.finished(report);
}

void Dispatcher::Cancel(RequestKey key, Millis now) {
  const auto it = m_requests.find(key);
  if (it == m_requests.end()) {
    return;
  }
  Request& request = *it->second;
  m_timers.erase({request.timer.count(), request.key});
  const auto node = m_requests.extract(it);
  Release(request, now, true);
  FinalAnswer answer;
  answer.reason = AnswerReason::kTooSlow;
  Report(request, answer, now, true);
}

void Dispatcher::Stop(Millis now) {
  while (!m_requests.empty()) {
    Request& request = *m_requests.begin()->second;
    for (size_t i = 0; i < request.parts.size(); ++i) {
      if (request.parts[i].state == PartState::kOpen) {
        GiveUp(request, i, AnswerReason::kStopping);
      }
    }
    Finish(request, now);
  }
}

}  // namespace tanagervane
