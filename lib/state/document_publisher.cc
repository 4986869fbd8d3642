#include "tanagervane/state/document_publisher.h"

#include <algorithm>
#include <utility>

#include "fmt/format.h"

namespace tanagervane {

namespace {

constexpr Millis kPublishTimeout{8000};
constexpr Millis kCallTimeout{2000};
constexpr uint32_t kMaxWrites = 6;
constexpr uint32_t kMaxCalls = 24;
constexpr uint32_t kMaxHistoryWrites = 3;
constexpr double kInitialBackoffMs = 20;
constexpr double kMaxBackoffMs = 800;
constexpr Millis kNever{1e15};

}  // namespace

DocumentPublisher::DocumentPublisher(
    std::string team,
    PlatformApi platform,
    DocumentParser parser,
    ClockHook clock,
    std::function<uint64_t()> revision_in_force,
    uint64_t seed)
    : m_team(std::move(team)),
      m_platform(std::move(platform)),
      m_parser(std::move(parser)),
      m_clock(std::move(clock)),
      m_revision_in_force(std::move(revision_in_force)),
      m_random(seed) {}

void DocumentPublisher::Publish(PublishRequest request, Done done) {
  if (const auto document = m_parser(request.text); !document.ok()) {
    PublishResult result;
    result.status = document.status();
    result.outcome = Outcome::kNotRun;
    done(result);
    return;
  }
  const Millis now = m_clock();
  Operation& operation = m_operations.emplace_back();
  operation.stored = {
      request.base_revision + 1, request.text, request.author, request.now,
      fmt::format("{:016x}{:016x}", m_random.Next(), m_random.Next())};
  operation.request = std::move(request);
  operation.done = std::move(done);
  operation.deadline = now + kPublishTimeout;
  StartCall(std::prev(m_operations.end()), now);
}

std::string DocumentPublisher::HistoryName(const Operation& operation) const {
  return fmt::format("{}-{}", m_team, operation.stored.revision);
}

void DocumentPublisher::StartCall(Iterator operation, Millis now) {
  const uint32_t max_writes =
      operation->step == Step::kWriteHistory ? kMaxHistoryWrites : kMaxWrites;
  if (now >= operation->deadline || operation->calls >= kMaxCalls ||
      (operation->writes >= max_writes &&
       operation->step != Step::kReadDocument &&
       operation->step != Step::kReadHistory)) {
    OnLimitReached(operation);
    return;
  }
  ++operation->calls;
  const Millis call_deadline =
      std::min(operation->deadline, now + kCallTimeout);
  const auto start =
      [&](void (DocumentPublisher::*handler)(Iterator, PlatformResult)) {
        return operation->call.Start(
            call_deadline, PlatformApi::ObjectDone([this, operation, handler](
                                                       PlatformResult result,
                                                       const PlatformObject&) {
              (this->*handler)(operation, result);
            }));
      };
  switch (operation->step) {
    case Step::kReadDocument:
      m_platform.get("document", m_team,
                     operation->call.Start(
                         call_deadline,
                         PlatformApi::ObjectDone(
                             [this, operation](PlatformResult result,
                                               const PlatformObject& object) {
                               OnRead(operation, result, object);
                             })));
      return;
    case Step::kReadHistory:
      m_platform.get("history", HistoryName(*operation),
                     start(&DocumentPublisher::OnHistoryRead));
      return;
    case Step::kWriteDocument:
      ++operation->writes;
      m_platform.put("document", m_team, operation->version,
                     FormatStoredDocument(operation->stored),
                     start(&DocumentPublisher::OnWrite));
      return;
    case Step::kWriteHistory:
      ++operation->writes;
      m_platform.put("history", HistoryName(*operation), 0,
                     FormatStoredDocument(operation->stored),
                     start(&DocumentPublisher::OnHistoryWrite));
      return;
  }
}

void DocumentPublisher::OnRead(Iterator operation,
                               PlatformResult result,
                               const PlatformObject& object) {
  const Millis now = m_clock();
  if (result != PlatformResult::kOk && result != PlatformResult::kNotFound) {
    Retry(operation, Step::kReadDocument, now);
    return;
  }
  const uint64_t base = operation->request.base_revision;
  uint64_t stored_revision = 0;
  operation->version = 0;
  if (result == PlatformResult::kOk) {
    operation->version = object.version;
    if (const auto stored = ParseStoredDocument(object.value); stored.ok()) {
      stored_revision = stored->revision;
      if (stored->write_id == operation->stored.write_id) {
        operation->step = Step::kWriteHistory;
        operation->writes = 0;
        StartCall(operation, now);
        return;
      }
    }
  }
  operation->current_revision =
      std::max(stored_revision, m_revision_in_force());
  if (stored_revision > base) {
    // Revision base + 1 by another writer proves that the write of this
    // operation did not take effect. If the revision is later, this write may
    // have been in force in between.
    if (stored_revision == base + 1) {
      operation->maybe_written = false;
    }
    FailWithConflict(operation, operation->current_revision);
    return;
  }
  if (operation->current_revision != base) {
    if (operation->maybe_written) {
      // The read is stale or the object was wiped, so it does not show whether
      // the write took effect.
      Retry(operation, Step::kReadDocument, now);
    } else {
      FailWithConflict(operation, operation->current_revision);
    }
    return;
  }
  // If the stored revision is lower than the one in force, the object was wiped
  // or the read is stale. This entry may lag behind other entries, so the next
  // revision number may already be in use; the history shows whether it is.
  operation->step =
      stored_revision < base ? Step::kReadHistory : Step::kWriteDocument;
  StartCall(operation, now);
}

void DocumentPublisher::OnHistoryRead(Iterator operation,
                                      PlatformResult result) {
  if (result == PlatformResult::kNotFound) {
    operation->step = Step::kWriteDocument;
    StartCall(operation, m_clock());
  } else if (result == PlatformResult::kOk) {
    operation->current_revision = operation->stored.revision;
    FailWithConflict(operation, operation->current_revision);
  } else {
    Retry(operation, Step::kReadDocument, m_clock());
  }
}

void DocumentPublisher::OnWrite(Iterator operation, PlatformResult result) {
  const Millis now = m_clock();
  switch (result) {
    case PlatformResult::kOk:
      operation->step = Step::kWriteHistory;
      operation->writes = 0;
      StartCall(operation, now);
      return;
    case PlatformResult::kUnavailable:
    case PlatformResult::kConflict:
      Retry(operation, Step::kReadDocument, now);
      return;
    default:
      operation->maybe_written = true;
      Retry(operation, Step::kReadDocument, now);
      return;
  }
}

void DocumentPublisher::OnHistoryWrite(Iterator operation,
                                       PlatformResult result) {
  // A conflict means that an earlier write, whose reply was lost, took effect.
  if (result == PlatformResult::kOk || result == PlatformResult::kConflict) {
    Succeed(operation, true);
  } else {
    Retry(operation, Step::kWriteHistory, m_clock());
  }
}

void DocumentPublisher::Retry(Iterator operation, Step step, Millis now) {
  operation->step = step;
  const double max_delay_ms =
      std::min(kMaxBackoffMs,
               kInitialBackoffMs *
                   static_cast<double>(1U << std::min(operation->calls, 10U)));
  operation->next_call = std::min(
      operation->deadline, now + Millis(max_delay_ms * m_random.NextDouble()));
}

void DocumentPublisher::OnLimitReached(Iterator operation) {
  if (operation->step == Step::kWriteHistory) {
    Succeed(operation, false);
    return;
  }
  PublishResult result;
  result.status =
      MakeError(ErrorCode::kPlatformUnavailable,
                operation->maybe_written
                    ? "the write of the document may have taken effect; "
                      "read the document to check"
                    : "the platform could not be reached in time");
  result.outcome =
      operation->maybe_written ? Outcome::kUnknown : Outcome::kNotRun;
  result.revision = operation->current_revision;
  Complete(operation, result);
}

void DocumentPublisher::Succeed(Iterator operation, bool history_written) {
  PublishResult result;
  result.outcome = Outcome::kRan;
  result.revision = operation->stored.revision;
  result.stored = operation->stored;
  result.history_written = history_written;
  Complete(operation, result);
}

void DocumentPublisher::FailWithConflict(Iterator operation,
                                         uint64_t revision) {
  PublishResult result;
  result.status = MakeError(
      ErrorCode::kConflict,
      fmt::format("the change is based on revision {}, the current one is {}",
                  operation->request.base_revision, revision));
  result.outcome =
      operation->maybe_written ? Outcome::kUnknown : Outcome::kNotRun;
  result.revision = revision;
  Complete(operation, result);
}

void DocumentPublisher::Complete(Iterator operation,
                                 const PublishResult& result) {
  // OnTick() may be iterating over the operations; it removes this one later.
  operation->finished = true;
  const Done done = std::move(operation->done);
  done(result);
}

void DocumentPublisher::RemoveFinished() {
  m_operations.remove_if(
      [](const Operation& operation) { return operation.finished; });
}

void DocumentPublisher::OnTick(Millis now) {
  for (auto it = m_operations.begin(); it != m_operations.end(); ++it) {
    if (it->finished) {
      continue;
    }
    if (it->call.Overdue(now)) {
      it->call.Cancel();
      it->maybe_written = it->maybe_written || it->step == Step::kWriteDocument;
      Retry(it,
            it->step == Step::kWriteHistory ? Step::kWriteHistory
                                            : Step::kReadDocument,
            now);
    }
    if (!it->call.active() && now >= it->next_call) {
      StartCall(it, now);
    }
  }
  RemoveFinished();
}

Millis DocumentPublisher::NextTimer() const {
  Millis next = kNever;
  for (const Operation& operation : m_operations) {
    if (operation.finished) {
      return Millis();
    }
    next = std::min(next, operation.call.active() ? *operation.call.deadline()
                                                  : operation.next_call);
  }
  return next;
}

}  // namespace tanagervane
