// Publication of new revisions of the team's document.

#ifndef TANAGERVANE_STATE_DOCUMENT_PUBLISHER_H_
#define TANAGERVANE_STATE_DOCUMENT_PUBLISHER_H_

#include <cstdint>
#include <functional>
#include <list>
#include <string>

#include "absl/status/status.h"
#include "tanagervane/state/pending_call.h"
#include "tanagervane/state/platform_api.h"
#include "tanagervane/state/stored_document.h"
#include "tanagervane/support/error.h"
#include "tanagervane/support/millis.h"
#include "tanagervane/support/random.h"

namespace tanagervane {

struct PublishRequest {
  std::string text;
  /// The revision that the change is based on; zero for the first revision.
  uint64_t base_revision = 0;
  std::string author;
  WallMillis now;
};

struct PublishResult {
  /// kInvalidDocument, kConflict, kPlatformUnavailable, or OK.
  absl::Status status;
  /// kRan if the write took effect, kNotRun if it did not and never will,
  /// kUnknown otherwise.
  Outcome outcome = Outcome::kUnknown;
  /// The new revision if `status` is OK, otherwise the current one if known.
  uint64_t revision = 0;
  /// The document that was written, if `status` is OK.
  StoredDocument stored;
  /// False when history/<team>-<revision> could not be written.
  bool history_written = false;
};

/// Writes new revisions of the document to the platform with conditional
/// writes. After a write that was not confirmed, it reads the document to find
/// out whether the write took effect. Each publication takes at most 8 s, with
/// at most 6 writes of the document and 3 of the history object.
class DocumentPublisher {
 public:
  using Done = std::function<void(const PublishResult&)>;

  /// `revision_in_force` returns the revision of the DocumentTracker, so that
  /// revision numbers keep growing after the platform object was lost.
  DocumentPublisher(std::string team,
                    PlatformApi platform,
                    DocumentParser parser,
                    ClockHook clock,
                    std::function<uint64_t()> revision_in_force,
                    uint64_t seed);

  /// Calls `done` once, possibly before Publish() returns. Publications may
  /// overlap.
  void Publish(PublishRequest request, Done done);

  void OnTick(Millis now);
  /// Returns a time far in the future if no publication is active.
  Millis NextTimer() const;

 private:
  enum class Step {
    kReadDocument,
    kReadHistory,
    kWriteDocument,
    kWriteHistory
  };
  struct Publication {
    PublishRequest request;
    Done done;
    StoredDocument stored;
    Millis deadline;
    Millis next_call;
    PendingCall call;
    Step step = Step::kReadDocument;
    uint64_t version = 0;
    uint64_t current_revision = 0;
    uint32_t calls = 0;
    uint32_t writes = 0;
    /// A write of the document may have taken effect.
    bool maybe_written = false;
    bool finished = false;
  };
  using Iterator = std::list<Publication>::iterator;

  std::string HistoryName(const Publication& publication) const;
  void StartCall(Iterator publication, Millis now);
  void OnRead(Iterator publication,
              PlatformResult result,
              const PlatformObject& object);
  void OnHistoryRead(Iterator publication, PlatformResult result);
  void OnWrite(Iterator publication, PlatformResult result);
  void OnHistoryWrite(Iterator publication, PlatformResult result);
  void Retry(Iterator publication, Step step, Millis now);
  /// Ends a publication that reached its deadline or call limit.
  void EndAtLimit(Iterator publication);
  void Succeed(Iterator publication, bool history_written);
  void FailWithConflict(Iterator publication, uint64_t revision);
  void Complete(Iterator publication, const PublishResult& result);
  void RemoveFinished();

  std::string m_team;
  PlatformApi m_platform;
  DocumentParser m_parser;
  ClockHook m_clock;
  std::function<uint64_t()> m_revision_in_force;
  Random m_random;
  std::list<Publication> m_publications;
};

}  // namespace tanagervane

#endif  // TANAGERVANE_STATE_DOCUMENT_PUBLISHER_H_
