// HTTP interface for operators: document, history, status, metrics and health.

#ifndef TANAGERVANE_EDGE_OPERATOR_API_H_
#define TANAGERVANE_EDGE_OPERATOR_API_H_

#include <cstdint>
#include <functional>
#include <list>
#include <optional>
#include <string>

#include "tanagervane/edge/entry_core.h"
#include "tanagervane/edge/http.h"
#include "tanagervane/net/event_loop.h"

namespace tanagervane {

/// Handles operators' HTTP requests. Publishing a document needs the operator
/// key; all other requests need none.
class OperatorApi {
 public:
  /// `key` is the operator key; when it is empty, every write is refused.
  OperatorApi(EventLoop& loop, EntryCore& core, std::string key);
  OperatorApi(const OperatorApi&) = delete;
  OperatorApi& operator=(const OperatorApi&) = delete;

  void Handle(const HttpRequest& request, const HttpResponder& respond);

 private:
  /// A GET /v1/watch request that waits for a revision above `from_revision`.
  struct Watcher {
    uint64_t id = 0;
    uint64_t from_revision = 0;
    HttpResponder respond;
    EventLoop::TimerId timer = 0;
  };

  using RevisionCallback =
      std::function<void(PlatformResult, const std::optional<StoredDocument>&)>;

  /// Handles the requests that need no call to the platform.
  HttpResponse HandleSynchronously(const HttpRequest& request);
  /// Returns the document in force.
  HttpResponse DocumentResponse() const;
  HttpResponse ExplainResponse(const std::string& id) const;
  HttpResponse MetricsResponse();
  HttpResponse HealthResponse(bool ok) const;
  /// Returns status 200 when the request's body is a valid document of this
  /// team.
  HttpResponse ValidateDocument(const HttpRequest& request) const;
  void PublishDocument(const HttpRequest& request,
                       const HttpResponder& respond);
  /// Responds with one revision, or with the list of revisions when `revision`
  /// is empty.
  void GetHistory(const std::string& revision, const HttpResponder& respond);
  void ListHistory(const HttpResponder& respond);
  void ReadRevision(uint64_t revision, const RevisionCallback& done);
  void AddWatcher(const HttpRequest& request, const HttpResponder& respond);
  /// Ends a watch without a new revision.
  void ExpireWatch(uint64_t id);
  /// Sends the document to the watchers that wait for its revision.
  void NotifyWatchers();
  bool IsAuthorized(const HttpRequest& request) const;

  EventLoop& m_loop;
  EntryCore& m_core;
  std::string m_key;
  std::list<Watcher> m_watchers;
  uint64_t m_next_watcher = 1;
};

}  // namespace tanagervane

#endif  // TANAGERVANE_EDGE_OPERATOR_API_H_
