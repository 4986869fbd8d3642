// OperatorApi.

#include "tanagervane/edge/operator_api.h"

#include <algorithm>
#include <charconv>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <utility>

#include "fmt/format.h"
#include "tanagervane/document/parser.h"
#include "tanagervane/edge/caller_codec.h"
#include "tanagervane/support/error.h"
#include "tanagervane/support/json_object.h"
#include "tanagervane/support/log.h"

namespace tanagervane {

namespace {

// Each listed revision costs one read of the platform.
constexpr uint64_t kMaxListed = 20;
constexpr size_t kMaxWatchers = 64;
constexpr double kMaxWatchMs = 60'000;

std::optional<uint64_t> ParseNumber(std::string_view text) {
  if (text.size() >= 2 && text.front() == '"' && text.back() == '"') {
    text = text.substr(1, text.size() - 2);
  }
  uint64_t value = 0;
  const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), value);
  if (text.empty() || error != std::errc() ||
      end != text.data() + text.size()) {
    return std::nullopt;
  }
  return value;
}

HttpResponse Json(const nlohmann::json& json) {
  HttpResponse response;
  response.body = DumpJson(json);
  return response;
}

HttpResponse Error(ErrorCode code,
                   std::string_view detail,
                   std::string_view path = "") {
  return FormatError(MakeError(code, detail, path), Outcome::kNotRun);
}

nlohmann::json ToJson(const StoredDocument& stored) {
  return {{"revision", stored.revision},
          {"document", stored.text},
          {"author", stored.author},
          {"accepted_at_ms", stored.accepted_at.count}};
}

// Takes the same time whatever the first difference is, so that the time of a
// refusal tells nothing about the key.
bool EqualSecrets(std::string_view a, std::string_view b) {
  unsigned difference = a.size() == b.size() ? 0 : 1;
  for (size_t i = 0; i < a.size(); ++i) {
    const char other = b.empty() ? '\0' : b[i % b.size()];
    difference |= static_cast<unsigned char>(a[i] ^ other);
  }
  return difference == 0;
}

}  // namespace

OperatorApi::OperatorApi(EventLoop& loop, EntryCore& core, std::string key)
    : m_loop(loop), m_core(core), m_key(std::move(key)) {
  m_core.set_on_document([this] { NotifyWatchers(); });
}

bool OperatorApi::IsAuthorized(const HttpRequest& request) const {
  const auto it = request.headers.find("authorization");
  constexpr std::string_view kScheme = "Bearer ";
  if (m_key.empty() || it == request.headers.end() ||
      !it->second.starts_with(kScheme)) {
    return false;
  }
  return EqualSecrets(std::string_view(it->second).substr(kScheme.size()),
                      m_key);
}

void OperatorApi::Handle(const HttpRequest& request,
                         const HttpResponder& respond) {
  constexpr std::string_view kHistory = "/v1/history";
  if (request.method == "PUT" && request.path == "/v1/document") {
    Publish(request, respond);
    return;
  }
  if (request.method == "GET" && request.path == "/v1/watch") {
    Watch(request, respond);
    return;
  }
  if (request.method == "GET" && request.path.starts_with(kHistory)) {
    std::string rest = request.path.substr(kHistory.size());
    if (rest.empty() || rest.front() == '/') {
      History(rest.empty() ? rest : rest.substr(1), respond);
      return;
    }
  }
  respond(HandleNow(request));
}

HttpResponse OperatorApi::HandleNow(const HttpRequest& request) {
  constexpr std::string_view kExplain = "/v1/explain/";
  if (request.method == "POST" && request.path == "/v1/document/validate") {
    return Validate(request);
  }
  if (request.method == "GET") {
    if (request.path == "/v1/document") {
      return Document();
    }
    if (request.path == "/v1/status") {
      return Json(m_core.StatusJson());
    }
    if (request.path == "/v1/entries") {
      return Json(m_core.EntriesJson());
    }
    if (request.path.starts_with(kExplain)) {
      return Explain(request.path.substr(kExplain.size()));
    }
    if (request.path == "/metrics") {
      return Metrics();
    }
    if (request.path == "/healthz") {
      return Health(true);
    }
    if (request.path == "/readyz") {
      return Health(m_core.state() == PeerState::kServing);
    }
  }
  return Error(ErrorCode::kNotFound, "no such method and path", request.path);
}

HttpResponse OperatorApi::Document() const {
  const auto& in_force = m_core.tracker().in_force();
  if (!in_force) {
    return Error(ErrorCode::kNotFound, "no document is in force");
  }
  return Json(ToJson(in_force->stored));
}

HttpResponse OperatorApi::Explain(const std::string& id) const {
  const std::vector<ExplainEvent> events = m_core.Explain(id);
  if (events.empty()) {
    return Error(ErrorCode::kNotFound, "the request is not known here", id);
  }
  auto list = nlohmann::json::array();
  for (const ExplainEvent& event : events) {
    list.push_back({{"at_ms", (event.at - events.front().at).count()},
                    {"event", event.description}});
  }
  return Json({{"request_id", id}, {"events", std::move(list)}});
}

HttpResponse OperatorApi::Metrics() {
  m_core.RefreshMetrics();
  HttpResponse response;
  response.content_type = "text/plain; version=0.0.4";
  response.body = m_core.metrics().Render();
  return response;
}

HttpResponse OperatorApi::Health(bool ok) const {
  HttpResponse response = Json({{"ok", ok}});
  response.status = ok ? 200 : 503;
  return response;
}

HttpResponse OperatorApi::Validate(const HttpRequest& request) const {
  const auto parsed = ParseDocument(request.body);
  if (!parsed.ok()) {
    return FormatError(parsed.status(), Outcome::kNotRun);
  }
  if (parsed->team != m_core.settings().team) {
    return Error(ErrorCode::kInvalidDocument, "belongs to another team",
                 "team");
  }
  return Json({{"valid", true}});
}

void OperatorApi::Publish(const HttpRequest& request,
                          const HttpResponder& respond) {
  const auto if_match = request.headers.find("if-match");
  const auto base = if_match == request.headers.end()
                        ? std::nullopt
                        : ParseNumber(if_match->second);
  if (!IsAuthorized(request)) {
    LogEvent("operator_write_refused").Field("reason", "unauthorized");
    respond(Error(ErrorCode::kUnauthorized, "a valid operator key is needed"));
    return;
  }
  if (!base) {
    respond(Error(ErrorCode::kInvalidRequest,
                  "must name the revision that the change is based on",
                  "If-Match"));
    return;
  }
  if (const HttpResponse checked = Validate(request); checked.status != 200) {
    respond(checked);
    return;
  }
  const auto author = request.headers.find("x-author");
  m_core.publisher().Publish(
      {.text = request.body,
       .base_revision = *base,
       .author = author == request.headers.end() ? "" : author->second,
       .now = WallMillis{EventLoop::WallMillis()}},
      [this, respond](const PublishResult& result) {
        LogEvent("document_publish")
            .Field("revision", result.revision)
            .Field("outcome", ToString(result.outcome));
        if (!result.status.ok()) {
          HttpResponse response = FormatError(result.status, result.outcome);
          auto json = nlohmann::json::parse(response.body);
          json["revision"] = result.revision;
          response.body = DumpJson(json);
          respond(response);
          return;
        }
        m_core.tracker().AcceptIfNewer(result.stored, m_core.settings().id);
        respond(Json({{"revision", result.revision},
                      {"history_written", result.history_written}}));
      });
}

void OperatorApi::History(const std::string& revision,
                          const HttpResponder& respond) {
  if (revision.empty()) {
    ListHistory(respond);
    return;
  }
  const auto number = ParseNumber(revision);
  if (!number) {
    respond(Error(ErrorCode::kInvalidRequest, "must be a number", "revision"));
    return;
  }
  ReadHistory(*number, [respond](PlatformResult result,
                                 const std::optional<StoredDocument>& stored) {
    if (result == PlatformResult::kNotFound) {
      respond(Error(ErrorCode::kNotFound, "no such revision is kept"));
    } else if (!stored) {
      respond(Error(ErrorCode::kPlatformUnavailable,
                    "the platform gave no readable revision"));
    } else {
      respond(Json(ToJson(*stored)));
    }
  });
}

void OperatorApi::ReadHistory(uint64_t revision, const HistoryDone& done) {
  m_core.platform().get(
      "history", fmt::format("{}-{}", m_core.settings().team, revision),
      [done](PlatformResult result, const PlatformObject& object) {
        auto stored = ParseStoredDocument(object.value);
        if (result == PlatformResult::kOk && stored.ok()) {
          done(result, *std::move(stored));
        } else {
          done(result, std::nullopt);
        }
      });
}

void OperatorApi::ListHistory(const HttpResponder& respond) {
  // Revisions are consecutive, so the newest one names them all.
  struct Listing {
    std::map<uint64_t, nlohmann::json, std::greater<>> rows;
    size_t waiting = 0;
  };
  const auto& in_force = m_core.tracker().in_force();
  const uint64_t newest = in_force ? in_force->stored.revision : 0;
  if (newest == 0) {
    respond(Json({{"revisions", nlohmann::json::array()}}));
    return;
  }
  const auto listing = std::make_shared<Listing>();
  listing->waiting = std::min(newest, kMaxListed);
  for (uint64_t n = newest; n > newest - std::min(newest, kMaxListed); --n) {
    ReadHistory(
        n, [listing, respond, n](PlatformResult,
                                 const std::optional<StoredDocument>& stored) {
          nlohmann::json row = {{"revision", n}};
          if (stored) {
            row["author"] = stored->author;
            row["accepted_at_ms"] = stored->accepted_at.count;
          }
          listing->rows[n] = std::move(row);
          if (--listing->waiting > 0) {
            return;
          }
          auto list = nlohmann::json::array();
          for (const auto& [number, item] : listing->rows) {
            list.push_back(item);
          }
          respond(Json({{"revisions", std::move(list)}}));
        });
  }
}

void OperatorApi::Watch(const HttpRequest& request,
                        const HttpResponder& respond) {
  const auto from = ParseNumber(request.QueryOr("from", "0"));
  const auto timeout = ParseNumber(request.QueryOr("timeout_ms", "10000"));
  if (!from || !timeout) {
    respond(Error(ErrorCode::kInvalidRequest,
                  "from and timeout_ms must be numbers"));
    return;
  }
  if (m_core.tracker().revision() > *from) {
    respond(Document());
    return;
  }
  if (m_watchers.size() >= kMaxWatchers) {
    respond(Error(ErrorCode::kOverloaded, "too many watches are waiting"));
    return;
  }
  const uint64_t id = m_next_watcher++;
  const Millis wait(std::min(static_cast<double>(*timeout), kMaxWatchMs));
  m_watchers.push_back(
      {.id = id,
       .from = *from,
       .respond = respond,
       .timer = m_loop.After(wait, [this, id] { EndWatch(id); })});
}

void OperatorApi::EndWatch(uint64_t id) {
  const auto it =
      std::find_if(m_watchers.begin(), m_watchers.end(),
                   [id](const Watcher& watcher) { return watcher.id == id; });
  if (it == m_watchers.end()) {
    return;
  }
  const HttpResponder respond = std::move(it->respond);
  m_watchers.erase(it);
  HttpResponse unchanged;
  unchanged.status = 304;
  respond(unchanged);
}

void OperatorApi::NotifyWatchers() {
  const uint64_t revision = m_core.tracker().revision();
  for (auto it = m_watchers.begin(); it != m_watchers.end();) {
    if (it->from >= revision) {
      ++it;
      continue;
    }
    m_loop.CancelTimer(it->timer);
    const HttpResponder respond = std::move(it->respond);
    it = m_watchers.erase(it);
    respond(Document());
  }
}

}  // namespace tanagervane
