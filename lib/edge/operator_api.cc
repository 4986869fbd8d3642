// Dispatch and handlers of operators' HTTP requests.

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

// Each listed revision costs one platform read.
constexpr uint64_t kMaxListedRevisions = 20;
constexpr size_t kMaxWatchers = 64;
constexpr double kMaxWatchTimeoutMs = 60'000;

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

HttpResponse JsonResponse(const nlohmann::json& json) {
  HttpResponse response;
  response.body = DumpJson(json);
  return response;
}

HttpResponse ErrorResponse(ErrorCode code,
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

// Compares in a time that does not depend on where the first difference is, so
// that the duration of a refusal reveals nothing about the key.
bool ConstantTimeEquals(std::string_view a, std::string_view b) {
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
  m_core.set_on_document_change([this] { NotifyWatchers(); });
}

bool OperatorApi::IsAuthorized(const HttpRequest& request) const {
  const auto it = request.headers.find("authorization");
  constexpr std::string_view kScheme = "Bearer ";
  if (m_key.empty() || it == request.headers.end() ||
      !it->second.starts_with(kScheme)) {
    return false;
  }
  return ConstantTimeEquals(std::string_view(it->second).substr(kScheme.size()),
                            m_key);
}

void OperatorApi::Handle(const HttpRequest& request,
                         const HttpResponder& respond) {
  constexpr std::string_view kHistoryPrefix = "/v1/history";
  if (request.method == "PUT" && request.path == "/v1/document") {
    PublishDocument(request, respond);
    return;
  }
  if (request.method == "GET" && request.path == "/v1/watch") {
    AddWatcher(request, respond);
    return;
  }
  if (request.method == "GET" && request.path.starts_with(kHistoryPrefix)) {
    std::string path_suffix = request.path.substr(kHistoryPrefix.size());
    if (path_suffix.empty() || path_suffix.front() == '/') {
      GetHistory(path_suffix.empty() ? path_suffix : path_suffix.substr(1),
                 respond);
      return;
    }
  }
  respond(HandleSynchronously(request));
}

HttpResponse OperatorApi::HandleSynchronously(const HttpRequest& request) {
  constexpr std::string_view kExplainPrefix = "/v1/explain/";
  if (request.method == "POST" && request.path == "/v1/document/validate") {
    return ValidateDocument(request);
  }
  if (request.method == "GET") {
    if (request.path == "/v1/document") {
      return DocumentResponse();
    }
    if (request.path == "/v1/status") {
      return JsonResponse(m_core.StatusJson());
    }
    if (request.path == "/v1/entries") {
      return JsonResponse(m_core.EntriesJson());
    }
    if (request.path.starts_with(kExplainPrefix)) {
      return ExplainResponse(request.path.substr(kExplainPrefix.size()));
    }
    if (request.path == "/metrics") {
      return MetricsResponse();
    }
    if (request.path == "/healthz") {
      return HealthResponse(true);
    }
    if (request.path == "/readyz") {
      return HealthResponse(m_core.state() == PeerState::kServing);
    }
  }
  return ErrorResponse(ErrorCode::kNotFound, "no such method and path",
                       request.path);
}

HttpResponse OperatorApi::DocumentResponse() const {
  const auto& in_force = m_core.tracker().in_force();
  if (!in_force) {
    return ErrorResponse(ErrorCode::kNotFound, "no document is in force");
  }
  return JsonResponse(ToJson(in_force->stored));
}

HttpResponse OperatorApi::ExplainResponse(const std::string& id) const {
  const std::vector<ExplainEvent> events = m_core.Explain(id);
  if (events.empty()) {
    return ErrorResponse(ErrorCode::kNotFound, "the request is not known here",
                         id);
  }
  auto list = nlohmann::json::array();
  for (const ExplainEvent& event : events) {
    list.push_back({{"at_ms", (event.at - events.front().at).count()},
                    {"event", event.description}});
  }
  return JsonResponse({{"request_id", id}, {"events", std::move(list)}});
}

HttpResponse OperatorApi::MetricsResponse() {
  m_core.RefreshMetrics();
  HttpResponse response;
  response.content_type = "text/plain; version=0.0.4";
  response.body = m_core.metrics().Render();
  return response;
}

HttpResponse OperatorApi::HealthResponse(bool ok) const {
  HttpResponse response = JsonResponse({{"ok", ok}});
  response.status = ok ? 200 : 503;
  return response;
}

HttpResponse OperatorApi::ValidateDocument(const HttpRequest& request) const {
  const auto parsed = ParseDocument(request.body);
  if (!parsed.ok()) {
    return FormatError(parsed.status(), Outcome::kNotRun);
  }
  if (parsed->team != m_core.settings().team) {
    return ErrorResponse(ErrorCode::kInvalidDocument, "belongs to another team",
                         "team");
  }
  return JsonResponse({{"valid", true}});
}

void OperatorApi::PublishDocument(const HttpRequest& request,
                                  const HttpResponder& respond) {
  const auto if_match = request.headers.find("if-match");
  const auto base = if_match == request.headers.end()
                        ? std::nullopt
                        : ParseNumber(if_match->second);
  if (!IsAuthorized(request)) {
    LogEvent("operator_write_refused").Field("reason", "unauthorized");
    respond(ErrorResponse(ErrorCode::kUnauthorized,
                          "a valid operator key is needed"));
    return;
  }
  if (!base) {
    respond(ErrorResponse(ErrorCode::kInvalidRequest,
                          "must name the revision that the change is based on",
                          "If-Match"));
    return;
  }
  if (const HttpResponse checked = ValidateDocument(request);
      checked.status != 200) {
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
        respond(JsonResponse({{"revision", result.revision},
                              {"history_written", result.history_written}}));
      });
}

void OperatorApi::GetHistory(const std::string& revision,
                             const HttpResponder& respond) {
  if (revision.empty()) {
    ListHistory(respond);
    return;
  }
  const auto number = ParseNumber(revision);
  if (!number) {
    respond(ErrorResponse(ErrorCode::kInvalidRequest, "must be a number",
                          "revision"));
    return;
  }
  ReadRevision(*number, [respond](PlatformResult result,
                                  const std::optional<StoredDocument>& stored) {
    if (result == PlatformResult::kNotFound) {
      respond(ErrorResponse(ErrorCode::kNotFound, "no such revision is kept"));
    } else if (!stored) {
      respond(ErrorResponse(ErrorCode::kPlatformUnavailable,
                            "the platform gave no readable revision"));
    } else {
      respond(JsonResponse(ToJson(*stored)));
    }
  });
}

void OperatorApi::ReadRevision(uint64_t revision,
                               const RevisionCallback& done) {
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
  // Revisions are consecutive, so all follow from the newest one.
  struct Listing {
    std::map<uint64_t, nlohmann::json, std::greater<>> rows;
    size_t pending_reads = 0;
  };
  const auto& in_force = m_core.tracker().in_force();
  const uint64_t newest = in_force ? in_force->stored.revision : 0;
  if (newest == 0) {
    respond(JsonResponse({{"revisions", nlohmann::json::array()}}));
    return;
  }
  const auto listing = std::make_shared<Listing>();
  listing->pending_reads = std::min(newest, kMaxListedRevisions);
  for (uint64_t listed_revision = newest;
       listed_revision > newest - std::min(newest, kMaxListedRevisions);
       --listed_revision) {
    ReadRevision(
        listed_revision,
        [listing, respond, listed_revision](
            PlatformResult, const std::optional<StoredDocument>& stored) {
          nlohmann::json row = {{"revision", listed_revision}};
          if (stored) {
            row["author"] = stored->author;
            row["accepted_at_ms"] = stored->accepted_at.count;
          }
          listing->rows[listed_revision] = std::move(row);
          if (--listing->pending_reads > 0) {
            return;
          }
          auto list = nlohmann::json::array();
          for (const auto& [number, item] : listing->rows) {
            list.push_back(item);
          }
          respond(JsonResponse({{"revisions", std::move(list)}}));
        });
  }
}

void OperatorApi::AddWatcher(const HttpRequest& request,
                             const HttpResponder& respond) {
  const auto from = ParseNumber(request.QueryParameterOr("from", "0"));
  const auto timeout =
      ParseNumber(request.QueryParameterOr("timeout_ms", "10000"));
  if (!from || !timeout) {
    respond(ErrorResponse(ErrorCode::kInvalidRequest,
                          "from and timeout_ms must be numbers"));
    return;
  }
  if (m_core.tracker().revision() > *from) {
    respond(DocumentResponse());
    return;
  }
  if (m_watchers.size() >= kMaxWatchers) {
    respond(
        ErrorResponse(ErrorCode::kOverloaded, "too many watches are waiting"));
    return;
  }
  const uint64_t id = m_next_watcher++;
  const Millis watch_timeout(
      std::min(static_cast<double>(*timeout), kMaxWatchTimeoutMs));
  m_watchers.push_back({.id = id,
                        .from_revision = *from,
                        .respond = respond,
                        .timer = m_loop.RunAfter(
                            watch_timeout, [this, id] { ExpireWatch(id); })});
}

void OperatorApi::ExpireWatch(uint64_t id) {
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
    if (it->from_revision >= revision) {
      ++it;
      continue;
    }
    m_loop.CancelTimer(it->timer);
    const HttpResponder respond = std::move(it->respond);
    it = m_watchers.erase(it);
    respond(DocumentResponse());
  }
}

}  // namespace tanagervane
