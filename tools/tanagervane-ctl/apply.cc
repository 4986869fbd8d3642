#include "apply.h"

#include <cstdio>

#include "fmt/format.h"
#include "tanagervane/program/flags.h"
#include "tanagervane/support/error.h"

namespace tanagervane {

namespace {

constexpr int kMaxWriteAttempts = 3;
constexpr Millis kPollInterval{50};
// Wait before the read-back: a write whose reply was lost may not have reached
// the platform yet.
constexpr Millis kReadBackDelay{500};

// The revision under which the submitted document was accepted.
struct AcceptedRevision {
  uint64_t revision = 0;
  /// The revision in force when it is a later one, otherwise zero.
  uint64_t replaced_by = 0;
};

// The result of FindSubmitted().
struct SubmittedSearch {
  std::optional<AcceptedRevision> found;
  /// A revision that may be the submitted document could not be read.
  bool incomplete = false;
};

// Searches the document in force and the revisions between `base` and it for
// the submitted document.
SubmittedSearch FindSubmitted(OperatorClient& client,
                              const nlohmann::json& submitted,
                              uint64_t base,
                              const DocumentInForce& current) {
  if (current.revision > base && current.document == submitted) {
    return {AcceptedRevision{current.revision, 0}};
  }
  SubmittedSearch search;
  for (uint64_t revision = base + 1; revision < current.revision; ++revision) {
    const auto reply = client.Read(fmt::format("/v1/history/{}", revision));
    if (!reply.ok() || !reply->ok()) {
      search.incomplete = true;
    } else if (ExtractDocument(reply->json) == submitted) {
      return {AcceptedRevision{revision, current.revision}};
    }
  }
  return search;
}

int ReportConflict(uint64_t base, const DocumentInForce& current) {
  fmt::print(stderr,
             "conflict: the change is based on revision {}, but revision {} by "
             "\"{}\" (accepted_at_ms={}) is in force; nothing was changed\n",
             base, current.revision, current.author, current.accepted_at_ms);
  return kExitFailure;
}

// How many live entries a revision is in force on.
struct RolloutProgress {
  size_t live_entries = 0;
  size_t updated_entries = 0;
};

std::optional<RolloutProgress> ReadRolloutProgress(OperatorClient& client,
                                                   uint64_t revision) {
  const auto reply = client.Read("/v1/entries");
  if (!reply.ok() || !reply->ok() || !reply->json.is_object()) {
    return std::nullopt;
  }
  const auto entries = reply->json.find("entries");
  if (entries == reply->json.end() || !entries->is_array()) {
    return std::nullopt;
  }
  RolloutProgress progress;
  for (const auto& entry : *entries) {
    if (!entry.is_object() ||
        (entry.contains("liveness") && entry["liveness"] == "dead") ||
        (entry.contains("state") && entry["state"] == "dead")) {
      continue;
    }
    ++progress.live_entries;
    const uint64_t in_force = UnsignedOr(entry, "document_revision",
                                         UnsignedOr(entry, "revision", 0));
    progress.updated_entries += in_force >= revision ? 1 : 0;
  }
  return progress;
}

int WaitUntilInForce(OperatorClient& client,
                     uint64_t revision,
                     Millis since,
                     Millis timeout) {
  const Millis deadline = client.loop().Now() + timeout;
  std::optional<RolloutProgress> last_progress;
  while (true) {
    const auto progress = ReadRolloutProgress(client, revision);
    const Millis now = client.loop().Now();
    if (progress) {
      last_progress = progress;
      if (progress->live_entries > 0 &&
          progress->updated_entries == progress->live_entries) {
        fmt::print("in_force revision={} entries={} after_ms={:.0f}\n",
                   revision, progress->live_entries, (now - since).count());
        return kExitSuccess;
      }
    }
    if (now >= deadline) {
      break;
    }
    client.Sleep(kPollInterval);
  }
  if (!last_progress) {
    fmt::print(stderr,
               "revision {} was accepted, but no entry reported where it "
               "is in force\n",
               revision);
    return kExitUnreachable;
  }
  fmt::print(stderr,
             "revision {} was accepted, but is in force on only {} of {} live "
             "entries after {:.0f} ms\n",
             revision, last_progress->updated_entries,
             last_progress->live_entries,
             (client.loop().Now() - since).count());
  return kExitFailure;
}

// Runs the conditional write of `apply` and retries it while its outcome is
// unknown. Retries are safe because the write is conditional on the base
// revision, so it takes effect at most once.
class ApplyCommand {
 public:
  ApplyCommand(OperatorClient& client, const ApplyOptions& options)
      : m_client(client),
        m_options(options),
        m_submitted(ParseJsonWithComments(options.text)) {}

  int Run() {
    auto current = ReadDocument(m_client);
    if (!current.ok()) {
      return ReportUnreachable(current.status());
    }
    m_base_revision = m_options.base.value_or(current->revision);
    m_started = m_client.loop().Now();
    HttpHeaders headers = {{"if-match", std::to_string(m_base_revision)},
                           {"authorization", "Bearer " + m_options.key}};
    if (!m_options.author.empty()) {
      headers["x-author"] = m_options.author;
    }
    for (int attempt = 0; attempt < kMaxWriteAttempts; ++attempt) {
      const auto reply =
          m_client.Write("PUT", "/v1/document", headers, m_options.text);
      if (const auto status = EvaluateReply(reply)) {
        return *status;
      }
      m_outcome_unknown = true;
    }
    fmt::print(
        stderr,
        "unknown: the write based on revision {} was sent, but its reply "
        "was lost and the document was not seen in force; it may still "
        "take effect\n",
        m_base_revision);
    return kExitUnreachable;
  }

 private:
  // Evaluates the reply to a write. Returns the exit status, or nullopt when
  // the write must be retried.
  std::optional<int> EvaluateReply(const absl::StatusOr<OperatorReply>& reply) {
    if (reply.ok() && reply->ok()) {
      return ReportAccepted(UnsignedOr(reply->json, "revision", 0), 0);
    }
    if (!reply.ok()) {
      if (GetErrorCode(reply.status()) == ErrorCode::kNotReady &&
          !m_outcome_unknown) {
        return ReportUnreachable(reply.status());
      }
      return ReadBack();
    }
    const bool conflict = reply->status == 409 || reply->status == 412 ||
                          reply->TextOr("error", "") == "conflict";
    if (conflict || reply->TextOr("outcome", "") == "unknown") {
      return ReadBack(conflict);
    }
    if (m_outcome_unknown) {
      return ReadBack();
    }
    return ReportRefusal(*reply);
  }

  // Reads the document in force to determine the outcome of a write. Returns
  // the exit status, or nullopt when the write must be retried.
  std::optional<int> ReadBack(bool conflict = false) {
    if (!conflict) {
      m_outcome_unknown = true;
      m_client.Sleep(kReadBackDelay);
    }
    const auto current = ReadDocument(m_client);
    if (!current.ok()) {
      return std::nullopt;
    }
    if (m_outcome_unknown) {
      const auto [accepted, incomplete] =
          FindSubmitted(m_client, m_submitted, m_base_revision, *current);
      if (accepted) {
        fmt::print(stderr,
                   "the reply to the write was lost; the document was found as "
                   "revision {}\n",
                   accepted->revision);
        return ReportAccepted(accepted->revision, accepted->replaced_by);
      }
      if (incomplete) {
        fmt::print(
            stderr,
            "unknown: the reply to the write was lost, revision {} by "
            "\"{}\" is in force, and the history could not be read to check "
            "whether this document was accepted before it\n",
            current->revision, current->author);
        return kExitUnreachable;
      }
    }
    if (conflict || current->revision > m_base_revision) {
      return ReportConflict(m_base_revision, *current);
    }
    return std::nullopt;
  }

  // Prints the accepted revision and waits for the entries if requested.
  int ReportAccepted(uint64_t revision, uint64_t replaced_by) {
    fmt::print("accepted revision={} based_on={}\n", revision, m_base_revision);
    if (replaced_by != 0) {
      fmt::print("replaced revision={} by={}\n", revision, replaced_by);
    }
    std::fflush(stdout);
    if (!m_options.wait) {
      return kExitSuccess;
    }
    return WaitUntilInForce(m_client, revision, m_started,
                            m_options.wait_timeout);
  }

  OperatorClient& m_client;
  const ApplyOptions& m_options;
  nlohmann::json m_submitted;
  uint64_t m_base_revision = 0;
  Millis m_started;
  /// A write was sent and its outcome is unknown.
  bool m_outcome_unknown = false;
};

}  // namespace

nlohmann::json ParseJsonWithComments(const std::string& text) {
  return nlohmann::json::parse(text, nullptr, false, true);
}

nlohmann::json ExtractDocument(const nlohmann::json& body) {
  if (!body.is_object() || !body.contains("document")) {
    return nullptr;
  }
  const nlohmann::json& value = body["document"];
  if (value.is_string()) {
    return ParseJsonWithComments(value.get<std::string>());
  }
  return value;
}

uint64_t UnsignedOr(const nlohmann::json& object,
                    const char* key,
                    uint64_t fallback) {
  if (!object.is_object()) {
    return fallback;
  }
  const auto found = object.find(key);
  if (found == object.end() || !found->is_number_unsigned()) {
    return fallback;
  }
  return found->get<uint64_t>();
}

absl::StatusOr<DocumentInForce> ReadDocument(OperatorClient& client) {
  const auto reply = client.Read("/v1/document");
  if (!reply.ok()) {
    return reply.status();
  }
  if (reply->status == 404) {
    return DocumentInForce{};
  }
  if (!reply->ok() || !reply->json.is_object() ||
      !reply->json.contains("revision")) {
    return MakeError(
        ErrorCode::kInternal,
        fmt::format(
            "{} answered the read of the document with HTTP status {}: {}",
            reply->address, reply->status,
            reply->TextOr("detail", reply->TextOr("error", ""))));
  }
  return DocumentInForce{UnsignedOr(reply->json, "revision", 0),
                         ExtractDocument(reply->json),
                         reply->TextOr("author", ""),
                         UnsignedOr(reply->json, "accepted_at_ms", 0)};
}

int ReportRefusal(const OperatorReply& reply) {
  fmt::print(stderr,
             "refused: error={} path={} outcome={} http_status={}: {}\n",
             reply.TextOr("error", "none"), reply.TextOr("path", ""),
             reply.TextOr("outcome", ""), reply.status,
             reply.TextOr("detail", "no detail"));
  return reply.status >= 500 ? kExitUnreachable : kExitFailure;
}

int ReportUnreachable(const absl::Status& status) {
  fmt::print(stderr, "unreachable: {}\n", std::string(status.message()));
  return kExitUnreachable;
}

int Apply(OperatorClient& client, const ApplyOptions& options) {
  return ApplyCommand(client, options).Run();
}

}  // namespace tanagervane
