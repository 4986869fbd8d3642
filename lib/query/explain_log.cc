#include "tanagervane/query/explain_log.h"

#include <utility>

#include "fmt/format.h"

namespace tanagervane {

void RequestTrace::Add(Millis at,
                       const char* name,
                       int64_t shard,
                       uint64_t number,
                       std::string_view detail) {
  if (m_events.size() >= kMaxEvents) {
    ++m_omitted;
    return;
  }
  m_events.push_back({at, name, shard, number, std::string(detail)});
}

std::vector<ExplainEvent> RequestTrace::Format() const {
  std::vector<ExplainEvent> events;
  events.reserve(m_events.size() + 1);
  for (const Event& event : m_events) {
    std::string text = event.name;
    if (event.shard >= 0) {
      text += fmt::format(" shard={}", event.shard);
    }
    if (event.number != 0) {
      text += fmt::format(" number={}", event.number);
    }
    if (!event.detail.empty()) {
      text += fmt::format(" {}", event.detail);
    }
    events.push_back({event.at, std::move(text)});
  }
  if (m_omitted > 0) {
    events.push_back(
        {m_events.back().at, fmt::format("{} events omitted", m_omitted)});
  }
  return events;
}

std::shared_ptr<RequestTrace> ExplainLog::Start(const std::string& request) {
  auto trace = std::make_shared<RequestTrace>();
  m_recent.emplace_back(request, trace);
  m_by_id[request] = trace;
  if (m_recent.size() > kMaxRequests) {
    const auto& [id, oldest] = m_recent.front();
    // Keeps the trace of a later request with the same id.
    if (const auto it = m_by_id.find(id);
        it != m_by_id.end() && it->second == oldest) {
      m_by_id.erase(it);
    }
    m_recent.pop_front();
  }
  return trace;
}

std::vector<ExplainEvent> ExplainLog::Find(std::string_view request) const {
  const auto it = m_by_id.find(std::string(request));
  return it == m_by_id.end() ? std::vector<ExplainEvent>()
                             : it->second->Format();
}

}  // namespace tanagervane
