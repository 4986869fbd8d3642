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
  Publication& publication = m_publications.emplace_back();
  publication.stored = {
      request.base_revision + 1, request.text, request.author, request.now,
      fmt::format("{:016x}{:016x}", m_random.Next(), m_random.Next())};
  publication.request = std::move(request);
  publication.done = std::move(done);
  publication.deadline = now + kPublishTimeout;
  StartCall(std::prev(m_publications.end()), now);
}

std::string DocumentPublisher::HistoryName(
    const Publication& publication) const {
  return fmt::format("{}-{}", m_team, publication.stored.revision);
}

void DocumentPublisher::StartCall(Iterator publication, Millis now) {
  const uint32_t max_writes =
      publication->step == Step::kWriteHistory ? kMaxHistoryWrites : kMaxWrites;
  if (now >= publication->deadline || publication->calls >= kMaxCalls ||
      (publication->writes >= max_writes &&
       publication->step != Step::kReadDocument &&
       publication->step != Step::kReadHistory)) {
    EndAtLimit(publication);
    return;
  }
  ++publication->calls;
  const Millis call_deadline =
      std::min(publication->deadline, now + kCallTimeout);
  const auto start =
      [&](void (DocumentPublisher::*handler)(Iterator, PlatformResult)) {
        return publication->call.Start(
            call_deadline, PlatformApi::ObjectDone([this, publication, handler](
                                                       PlatformResult result,
                                                       const PlatformObject&) {
              (this->*handler)(publication, result);
            }));
      };
  switch (publication->step) {
    case Step::kReadDocument:
      m_platform.get("document", m_team,
                     publication->call.Start(
                         call_deadline,
                         PlatformApi::ObjectDone(
                             [this, publication](PlatformResult result,
                                                 const PlatformObject& object) {
                               OnRead(publication, result, object);
                             })));
      return;
    case Step::kReadHistory:
      m_platform.get("history", HistoryName(*publication),
                     start(&DocumentPublisher::OnHistoryRead));
      return;
    case Step::kWriteDocument:
      ++publication->writes;
      m_platform.put("document", m_team, publication->version,
                     FormatStoredDocument(publication->stored),
                     start(&DocumentPublisher::OnWrite));
      return;
    case Step::kWriteHistory:
      ++publication->writes;
      m_platform.put("history", HistoryName(*publication), 0,
                     FormatStoredDocument(publication->stored),
                     start(&DocumentPublisher::OnHistoryWrite));
      return;
  }
}

void DocumentPublisher::OnRead(Iterator publication,
                               PlatformResult result,
                               const PlatformObject& object) {
  const Millis now = m_clock();
  if (result != PlatformResult::kOk && result != PlatformResult::kNotFound) {
    Retry(publication, Step::kReadDocument, now);
    return;
  }
  const uint64_t base = publication->request.base_revision;
  uint64_t stored_revision = 0;
  publication->version = 0;
  if (result == PlatformResult::kOk) {
    publication->version = object.version;
    if (const auto stored = ParseStoredDocument(object.value); stored.ok()) {
      stored_revision = stored->revision;
      if (stored->write_id == publication->stored.write_id) {
        publication->step = Step::kWriteHistory;
        publication->writes = 0;
        StartCall(publication, now);
        return;
      }
    }
  }
  publication->current_revision =
      std::max(stored_revision, m_revision_in_force());
  if (stored_revision > base) {
    // Revision base + 1 by another writer proves that the write of this
    // publication did not take effect. If the revision is later, this write may
    // have been in force in between.
    if (stored_revision == base + 1) {
      publication->maybe_written = false;
    }
    FailWithConflict(publication, publication->current_revision);
    return;
  }
  if (publication->current_revision != base) {
    if (publication->maybe_written) {
      // The read is stale or the object was wiped, so it does not show whether
      // the write took effect.
      Retry(publication, Step::kReadDocument, now);
    } else {
      FailWithConflict(publication, publication->current_revision);
    }
    return;
  }
  // If the stored revision is lower than the one in force, the object was wiped
  // or the read is stale. This entry may lag behind other entries, so the next
  // revision number may already be in use; the history shows whether it is.
  publication->step =
      stored_revision < base ? Step::kReadHistory : Step::kWriteDocument;
  StartCall(publication, now);
}

void DocumentPublisher::OnHistoryRead(Iterator publication,
                                      PlatformResult result) {
  if (result == PlatformResult::kNotFound) {
    publication->step = Step::kWriteDocument;
    StartCall(publication, m_clock());
  } else if (result == PlatformResult::kOk) {
    publication->current_revision = publication->stored.revision;
    FailWithConflict(publication, publication->current_revision);
  } else {
    Retry(publication, Step::kReadDocument, m_clock());
  }
}

void DocumentPublisher::OnWrite(Iterator publication, PlatformResult result) {
  const Millis now = m_clock();
  switch (result) {
    case PlatformResult::kOk:
      publication->step = Step::kWriteHistory;
      publication->writes = 0;
      StartCall(publication, now);
      return;
    case PlatformResult::kUnavailable:
    case PlatformResult::kConflict:
      Retry(publication, Step::kReadDocument, now);
      return;
    default:
      publication->maybe_written = true;
      Retry(publication, Step::kReadDocument, now);
      return;
  }
}

void DocumentPublisher::OnHistoryWrite(Iterator publication,
                                       PlatformResult result) {
  // A conflict means that an earlier write, whose reply was lost, took effect.
  if (result == PlatformResult::kOk || result == PlatformResult::kConflict) {
    Succeed(publication, true);
  } else {
    Retry(publication, Step::kWriteHistory, m_clock());
  }
}

void DocumentPublisher::Retry(Iterator publication, Step step, Millis now) {
  publication->step = step;
  const double max_delay_ms = std::min(
      kMaxBackoffMs,
      kInitialBackoffMs *
          static_cast<double>(1U << std::min(publication->calls, 10U)));
  publication->next_call =
      std::min(publication->deadline,
               now + Millis(max_delay_ms * m_random.NextDouble()));
}

void DocumentPublisher::EndAtLimit(Iterator publication) {
  if (publication->step == Step::kWriteHistory) {
    Succeed(publication, false);
    return;
  }
  PublishResult result;
  result.status =
      MakeError(ErrorCode::kPlatformUnavailable,
                publication->maybe_written
                    ? "the write of the document may have taken effect; "
                      "read the document to check"
                    : "the platform could not be reached in time");
  result.outcome =
      publication->maybe_written ? Outcome::kUnknown : Outcome::kNotRun;
  result.revision = publication->current_revision;
  Complete(publication, result);
}

void DocumentPublisher::Succeed(Iterator publication, bool history_written) {
  PublishResult result;
  result.outcome = Outcome::kRan;
  result.revision = publication->stored.revision;
  result.stored = publication->stored;
  result.history_written = history_written;
  Complete(publication, result);
}

void DocumentPublisher::FailWithConflict(Iterator publication,
                                         uint64_t revision) {
  PublishResult result;
  result.status = MakeError(
      ErrorCode::kConflict,
      fmt::format("the change is based on revision {}, the current one is {}",
                  publication->request.base_revision, revision));
  result.outcome =
      publication->maybe_written ? Outcome::kUnknown : Outcome::kNotRun;
  result.revision = revision;
  Complete(publication, result);
}

void DocumentPublisher::Complete(Iterator publication,
                                 const PublishResult& result) {
  // OnTick() may be iterating over the operations; it removes this one later.
  publication->finished = true;
  const Done done = std::move(publication->done);
  done(result);
}

void DocumentPublisher::RemoveFinished() {
  m_publications.remove_if(
      [](const Publication& publication) { return publication.finished; });
}

void DocumentPublisher::OnTick(Millis now) {
  for (auto it = m_publications.begin(); it != m_publications.end(); ++it) {
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
  for (const Publication& publication : m_publications) {
    if (publication.finished) {
      return Millis();
    }
    next =
        std::min(next, publication.call.active() ? *publication.call.deadline()
                                                 : publication.next_call);
  }
  return next;
}

}  // namespace tanagervane
