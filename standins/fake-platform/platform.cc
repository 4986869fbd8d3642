#include "platform.h"

#include <algorithm>
#include <charconv>
#include <optional>
#include <vector>

#include "standins/common/control.h"
#include "tanagervane/support/error.h"

namespace tanagervane::standins {

namespace {

constexpr size_t kMaxValueBytes = 1000000;
constexpr uint64_t kMaxWatchMillis = 300000;

std::optional<uint64_t> ParseNumber(std::string_view text) {
  if (text.size() >= 2 && text.front() == '"' && text.back() == '"') {
    text = text.substr(1, text.size() - 2);  // ETags may be quoted.
  }
  uint64_t value = 0;
  const char* end = text.data() + text.size();
  const auto [parsed_end, error] = std::from_chars(text.data(), end, value);
  if (error != std::errc() || parsed_end != end) {
    return std::nullopt;
  }
  return value;
}

HttpResponse EmptyResponse(unsigned status) {
  HttpResponse response;
  response.status = status;
  return response;
}

HttpResponse VersionedResponse(unsigned status, uint64_t version) {
  HttpResponse response = EmptyResponse(status);
  response.headers["ETag"] = std::to_string(version);
  return response;
}

HttpResponse BadRequestResponse(std::string_view detail,
                                std::string_view path) {
  return ErrorResponse(400,
                       MakeError(ErrorCode::kInvalidRequest, detail, path));
}

HttpResponse UnavailableResponse() {
  return ErrorResponse(503,
                       MakeError(ErrorCode::kPlatformUnavailable,
                                 "platform is down; the call had no effect"));
}

HttpResponse HistoryUnavailableResponse() {
  return ErrorResponse(
      410, MakeError(
               ErrorCode::kNotFound,
               "the change history from the watched version is not available"));
}

}  // namespace

void Platform::HandleRequest(const HttpRequest& request, HttpResponder done) {
  CountCall(request);
  m_counters.request_bytes += request.body.size();
  HttpResponder reply = [this,
                         done = std::move(done)](const HttpResponse& response) {
    m_counters.response_bytes += response.body.size();
    done(response);
  };
  if (m_faults.down) {
    ++m_counters.rejected_down;
    reply(UnavailableResponse());
    return;
  }
  if (m_faults.reply_delay_ms > 0) {
    reply = [this,
             undelayed_reply = std::move(reply)](const HttpResponse& response) {
      m_timers.RunAfter(
          Millis(m_faults.reply_delay_ms),
          [undelayed_reply, response] { undelayed_reply(response); });
    };
  }
  if (m_faults.delay_ms <= 0) {
    Serve(request, reply);
    return;
  }
  m_timers.RunAfter(Millis(m_faults.delay_ms), [this, request, reply] {
    if (m_faults.down) {
      ++m_counters.rejected_down;
      reply(UnavailableResponse());
      return;
    }
    Serve(request, reply);
  });
}

void Platform::CountCall(const HttpRequest& request) {
  const bool vms = request.path.starts_with("/v1/vms");
  if (request.method == "PUT") {
    ++m_counters.put;
  } else if (request.method == "DELETE") {
    ++m_counters.remove;
  } else if (vms) {
    ++(request.QueryParameterOr("from", "0") == "0" ? m_counters.vms
                                                    : m_counters.vms_watch);
  } else if (request.query_parameters.contains("watch_from")) {
    ++m_counters.watch;
  } else if (SplitPath(request.path).size() == 3) {
    ++m_counters.list;
  } else {
    ++m_counters.get;
  }
}

void Platform::Serve(const HttpRequest& request, const HttpResponder& done) {
  const std::vector<std::string> segments = SplitPath(request.path);
  const bool is_v1 = segments.size() >= 2 && segments[0] == "v1";
  if (is_v1 && segments[1] == "vms" && segments.size() == 2 &&
      request.method == "GET") {
    ServeVms(request, done);
    return;
  }
  if (is_v1 && segments[1] == "objects" && segments.size() == 3 &&
      request.method == "GET") {
    ServeList(request, segments[2], done);
    return;
  }
  const bool is_object = is_v1 && segments[1] == "objects" &&
                         segments.size() == 4 && !segments[2].empty() &&
                         !segments[3].empty();
  if (!is_object) {
    done(ErrorResponse(
        404, MakeError(ErrorCode::kNotFound, "no such path", request.path)));
    return;
  }
  ServeObject(request, {segments[2], segments[3]}, done);
}

void Platform::ServeObject(const HttpRequest& request,
                           const ObjectKey& key,
                           const HttpResponder& done) {
  if (request.method == "GET") {
    ServeGet(request, key, done);
  } else if (request.method == "PUT" || request.method == "DELETE") {
    ServeWrite(request, key, done);
  } else {
    done(EmptyResponse(405));
  }
}

HttpResponse Platform::ObjectResponse(const Object& object) const {
  // The version of a deleted object is sent too, so that the caller can watch
  // from it.
  HttpResponse response =
      VersionedResponse(object.exists ? 200 : 404, object.version);
  if (object.exists) {
    response.body = object.value;
  }
  return response;
}

void Platform::ServeGet(const HttpRequest& request,
                        const ObjectKey& key,
                        const HttpResponder& done) {
  const auto it = m_objects.find(key);
  const Object object = it == m_objects.end() ? Object{} : it->second;
  if (!request.query_parameters.contains("watch_from")) {
    if (object.version > 0 &&
        m_random.NextDouble() < m_faults.stale_read_rate) {
      Object stale;
      stale.version = object.previous_version;
      stale.exists = object.previous_exists;
      stale.value = object.previous_value;
      done(ObjectResponse(stale));
      return;
    }
    done(ObjectResponse(object));
    return;
  }
  const auto from_version =
      ParseNumber(request.QueryParameterOr("watch_from", ""));
  const auto timeout = ParseNumber(request.QueryParameterOr("timeout_ms", "0"));
  if (!from_version || !timeout) {
    done(BadRequestResponse("watch_from and timeout_ms must be integers",
                            "query"));
    return;
  }
  if (*from_version < object.min_watch_version ||
      *from_version > object.version) {
    done(HistoryUnavailableResponse());
    return;
  }
  if (*from_version < object.version) {
    done(ObjectResponse(object));
    return;
  }
  AddPendingWatch(key, *from_version,
                  static_cast<double>(std::min(*timeout, kMaxWatchMillis)),
                  done);
}

bool Platform::ShouldLoseReply() {
  if (m_faults.lose_next_writes > 0) {
    --m_faults.lose_next_writes;
    return true;
  }
  return m_random.NextDouble() < m_faults.lose_reply_rate;
}

void Platform::ServeWrite(const HttpRequest& request,
                          const ObjectKey& key,
                          const HttpResponder& done) {
  const auto header = request.headers.find("if-match");
  const auto expected = header == request.headers.end()
                            ? std::nullopt
                            : ParseNumber(header->second);
  if (!expected) {
    done(BadRequestResponse("If-Match must be an object version", "If-Match"));
    return;
  }
  if (request.body.size() > kMaxValueBytes) {
    done(ErrorResponse(
        413, MakeError(ErrorCode::kBodyTooLarge, "value exceeds 1 MB")));
    return;
  }
  const bool is_delete = request.method == "DELETE";
  const auto it = m_objects.find(key);
  const bool exists = it != m_objects.end() && it->second.exists;
  const uint64_t current = exists ? it->second.version : 0;
  if (is_delete && !exists) {
    done(VersionedResponse(404, 0));
    return;
  }
  if (*expected != current) {
    ++m_counters.conflicts;
    done(VersionedResponse(412, current));
    return;
  }
  // Versions continue to rise after a delete, so that a delayed conditional
  // write cannot match an object that was deleted and created again.
  Object& object = m_objects[key];
  object.previous_version = object.version;
  object.previous_exists = object.exists;
  object.previous_value = std::move(object.value);
  ++object.version;
  object.exists = !is_delete;
  object.value = is_delete ? std::string() : request.body;
  AnswerObjectWatches(key);
  if (!ShouldLoseReply()) {
    done(VersionedResponse(200, object.version));
    return;
  }
  ++m_counters.lost_replies;
  const uint64_t id = m_next_held_id++;
  m_held_responders.emplace(id, done);
  m_timers.RunAfter(Millis(m_faults.lost_reply_hold_ms), [this, id] {
    if (const auto held = m_held_responders.extract(id)) {
      held.mapped()(EmptyResponse(504));
    }
  });
}

void Platform::ServeList(const HttpRequest& request,
                         const std::string& kind,
                         const HttpResponder& done) {
  const std::string prefix = request.QueryParameterOr("prefix", "");
  nlohmann::json names = nlohmann::json::array();
  for (auto it = m_objects.lower_bound({kind, prefix});
       it != m_objects.end() && it->first.first == kind &&
       it->first.second.starts_with(prefix);
       ++it) {
    if (it->second.exists) {
      names.push_back(it->first.second);
    }
  }
  done(JsonResponse({{"names", names}}));
}

HttpResponse Platform::VmsResponse() const {
  return JsonResponse({{"version", m_vms_version}, {"vms", m_visible_vms}});
}

void Platform::ServeVms(const HttpRequest& request, const HttpResponder& done) {
  const auto from_version = ParseNumber(request.QueryParameterOr("from", "0"));
  const auto timeout = ParseNumber(request.QueryParameterOr("timeout_ms", "0"));
  if (!from_version || !timeout) {
    done(BadRequestResponse("from and timeout_ms must be integers", "query"));
    return;
  }
  if (*from_version != 0 && (*from_version < m_min_vms_watch_version ||
                             *from_version > m_vms_version)) {
    done(HistoryUnavailableResponse());
  } else if (*from_version < m_vms_version) {
    done(VmsResponse());
  } else {
    AddPendingWatch({}, *from_version,
                    static_cast<double>(std::min(*timeout, kMaxWatchMillis)),
                    done);
  }
}

void Platform::AddPendingWatch(ObjectKey key,
                               uint64_t from_version,
                               double timeout_ms,
                               const HttpResponder& done) {
  const auto it = m_pending_watches.insert(
      m_pending_watches.end(),
      PendingWatch{std::move(key), from_version, done, {}});
  m_counters.max_pending_watches = std::max<uint64_t>(
      m_counters.max_pending_watches, m_pending_watches.size());
  it->timeout = m_timers.RunAfter(Millis(timeout_ms), [this, it] {
    const HttpResponder respond = std::move(it->done);
    m_pending_watches.erase(it);
    respond(EmptyResponse(304));
  });
}

void Platform::AnswerWatches(
    const std::function<const HttpResponse*(const PendingWatch&)>& answer) {
  std::vector<std::pair<HttpResponder, const HttpResponse*>> answers;
  for (auto it = m_pending_watches.begin(); it != m_pending_watches.end();) {
    const HttpResponse* response = answer(*it);
    if (!response) {
      ++it;
      continue;
    }
    m_timers.Cancel(it->timeout);
    answers.emplace_back(std::move(it->done), response);
    it = m_pending_watches.erase(it);
  }
  for (const auto& [respond, response] : answers) {
    respond(*response);
  }
}

void Platform::AnswerObjectWatches(const ObjectKey& key) {
  const HttpResponse response = ObjectResponse(m_objects[key]);
  AnswerWatches([&](const PendingWatch& pending) {
    return pending.key == key ? &response : nullptr;
  });
}

void Platform::SetFaults(const PlatformFaults& faults) {
  m_faults = faults;
  if (m_faults.down) {
    const HttpResponse response = UnavailableResponse();
    AnswerWatches([&](const PendingWatch&) { return &response; });
  }
}

void Platform::WipeHistory() {
  for (auto& [key, object] : m_objects) {
    object.min_watch_version = object.version;
  }
  m_min_vms_watch_version = m_vms_version;
  const HttpResponse response = HistoryUnavailableResponse();
  AnswerWatches([&](const PendingWatch&) { return &response; });
}

void Platform::SetVms(nlohmann::json vms) {
  m_vms = std::move(vms);
  const auto make_visible = [this, new_vms = m_vms] {
    m_visible_vms = new_vms;
    ++m_vms_version;
    const HttpResponse response = VmsResponse();
    AnswerWatches([&](const PendingWatch& pending) {
      return pending.key.first.empty() ? &response : nullptr;
    });
  };
  if (m_faults.vm_lag_ms <= 0) {
    make_visible();
    return;
  }
  m_timers.RunAfter(Millis(m_faults.vm_lag_ms), make_visible);
}

void Platform::AnswerAllPending() {
  const HttpResponse response = UnavailableResponse();
  AnswerWatches([&](const PendingWatch&) { return &response; });
  const auto held = std::exchange(m_held_responders, {});
  for (const auto& [id, respond] : held) {
    respond(EmptyResponse(504));
  }
}

nlohmann::json Platform::CountersJson() const {
  const CallCounters& counters = m_counters;
  return {
      {"get", counters.get},
      {"watch", counters.watch},
      {"list", counters.list},
      {"put", counters.put},
      {"delete", counters.remove},
      {"vms", counters.vms},
      {"vms_watch", counters.vms_watch},
      {"total", counters.get + counters.watch + counters.list + counters.put +
                    counters.remove + counters.vms + counters.vms_watch},
      {"refused_down", counters.rejected_down},
      {"conflicts", counters.conflicts},
      {"lost_replies", counters.lost_replies},
      {"request_bytes", counters.request_bytes},
      {"response_bytes", counters.response_bytes},
      {"waiting", m_pending_watches.size()},
      {"max_waiting", counters.max_pending_watches}};
}

}  // namespace tanagervane::standins
