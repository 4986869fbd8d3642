#ifndef TANAGERVANE_QUERY_EXPLAIN_LOG_H_
#define TANAGERVANE_QUERY_EXPLAIN_LOG_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "tanagervane/query/query_engine.h"
#include "tanagervane/routing/types.h"
#include "tanagervane/support/millis.h"

namespace tanagervane {

/// Records the events of one request for `tanagervane-ctl explain`. The text
/// is formatted only when an operator asks for it, because formatting costs
/// more than the rest of a sub-request.
class RequestTrace {
 public:
  /// Events beyond this number are counted but not kept. A fan-out over 15
  /// shards records about 45 events.
  static constexpr size_t kMaxEvents = 256;

  /// Records an event. `name` must be a string literal. `shard` is -1 when the
  /// event concerns no single shard. `number` is the id of the attempt or the
  /// index version, and zero for other events.
  void Add(Millis at,
           const char* name,
           int64_t shard = -1,
           uint64_t number = 0,
           std::string_view detail = "");

  /// Formats all recorded events, oldest first.
  std::vector<ExplainEvent> Format() const;

 private:
  struct Event {
    Millis at;
    const char* name = "";
    int64_t shard = -1;
    uint64_t number = 0;
    std::string detail;
  };

  std::vector<Event> m_events;
  /// Events that were not kept.
  size_t m_omitted = 0;
};

/// Keeps the traces of the kMaxRequests latest requests.
class ExplainLog {
 public:
  static constexpr size_t kMaxRequests = 256;

  /// Creates the trace of a request. It replaces an earlier one with the same
  /// request id.
  std::shared_ptr<RequestTrace> Start(const std::string& request);

  /// Returns the events of a request, or none when its trace is not kept.
  std::vector<ExplainEvent> Find(std::string_view request) const;

 private:
  /// In the order of their creation.
  std::deque<std::pair<std::string, std::shared_ptr<RequestTrace>>> m_recent;
  std::unordered_map<std::string, std::shared_ptr<RequestTrace>> m_by_id;
};

}  // namespace tanagervane

#endif  // TANAGERVANE_QUERY_EXPLAIN_LOG_H_
