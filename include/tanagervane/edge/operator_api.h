// The operators' HTTP interface.

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

/// Routes operators' requests. Reads need no key; writes do.
class OperatorApi {
 public:
  /// `key` is the operators' key; empty refuses every write.
  OperatorApi(EventLoop& loop, EntryCore& core, std::string key);
  OperatorApi(const OperatorApi&) = delete;
  OperatorApi& operator=(const OperatorApi&) = delete;

  void Handle(const HttpRequest& request, const HttpResponder& respond);

 private:
  struct Watcher {
    uint64_t id = 0;
    uint64_t from = 0;
    HttpResponder respond;
    EventLoop::TimerId timer = 0;
  };

  using HistoryDone =
      std::function<void(PlatformResult, const std::optional<StoredDocument>&)>;

  HttpResponse HandleNow(const HttpRequest& request);
  HttpResponse Document() const;
  HttpResponse Explain(const std::string& id) const;
  HttpResponse Metrics();
  HttpResponse Health(bool ok) const;
  HttpResponse Validate(const HttpRequest& request) const;
  void Publish(const HttpRequest& request, const HttpResponder& respond);
  void History(const std::string& revision, const HttpResponder& respond);
  void ListHistory(const HttpResponder& respond);
  void ReadHistory(uint64_t revision, const HistoryDone& done);
  void Watch(const HttpRequest& request, const HttpResponder& respond);
  void EndWatch(uint64_t id);
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
