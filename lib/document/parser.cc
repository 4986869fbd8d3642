// Values are checked one by one while they are read; constraints between
// several values are checked afterwards.

#include "tanagervane/document/parser.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstddef>
#include <initializer_list>
#include <set>
#include <utility>

#include "fmt/format.h"
#include "nlohmann/json.hpp"
#include "syntax.h"
#include "tanagervane/support/error.h"

namespace tanagervane {

namespace {

using Json = nlohmann::json;

// The platform stores objects of at most 1 MB. The document is stored as an
// escaped string in a JSON record; half of the limit is left for the escaping
// and the other members of the record.
constexpr size_t kMaxTextBytes = size_t{512} * 1024;
// Names become part of names of stored objects and of log lines.
constexpr size_t kMaxNameBytes = 64;
constexpr uint32_t kMaxEntries = 4096;
constexpr uint32_t kMaxShards = 4096;
constexpr uint32_t kMaxReplicas = 4096;
constexpr uint32_t kMaxSlots = 4096;
constexpr uint32_t kMaxConnections = 65535;
constexpr double kMaxConnectMillis = 10000;
constexpr double kMinDeadlineMillis = 1;
// The graceful stop of an entry waits for the longest timeout, which this
// bounds.
constexpr double kMaxDeadlineMillis = 60000;
constexpr uint32_t kMaxMatches = 1000000;
constexpr uint32_t kMaxShare = 1000000;

enum class Presence { kRequired, kOptional };

bool IsNameChar(char c) {
  return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-' ||
         c == '_';
}

bool IsValidName(std::string_view text) {
  return !text.empty() && text.size() <= kMaxNameBytes &&
         std::all_of(text.begin(), text.end(), IsNameChar) && text[0] != '-';
}

// The first error of the document. Once it is set, ObjectReader skips all
// further reads.
class FirstError {
 public:
  const absl::Status& status() const { return m_status; }
  bool ok() const { return m_status.ok(); }

  void Fail(std::string_view path, std::string_view reason) {
    if (ok()) {
      m_status = MakeError(ErrorCode::kInvalidDocument, reason,
                           path.empty() ? "$" : path);
    }
  }

 private:
  absl::Status m_status;
};

// Reads typed members of one JSON object. A value stays unchanged when its
// optional key is absent.
class ObjectReader {
 public:
  ObjectReader(FirstError& first_error, const Json& json, std::string path)
      : m_first_error(first_error), m_json(json), m_path(std::move(path)) {
    if (!json.is_object()) {
      m_first_error.Fail(m_path, "must be an object");
    }
  }

  std::string PathOf(std::string_view key) const {
    return m_path.empty() ? std::string(key)
                          : fmt::format("{}.{}", m_path, key);
  }

  void CheckKeys(std::initializer_list<std::string_view> known) {
    if (!m_first_error.ok()) {
      return;
    }
    for (const auto& [key, value] : m_json.items()) {
      if (std::find(known.begin(), known.end(), key) == known.end()) {
        m_first_error.Fail(PathOf(TruncateKey(key)), "unknown key");
        return;
      }
    }
  }

  void ReadName(std::string_view key, std::string& value) {
    const Json* json = Find(key, Presence::kRequired);
    if (!json) {
      return;
    }
    if (!json->is_string()) {
      m_first_error.Fail(PathOf(key), "must be a string");
      return;
    }
    value = json->get_ref<const std::string&>();
    if (!IsValidName(value)) {
      m_first_error.Fail(
          PathOf(key),
          fmt::format("must be 1 to {} characters of a-z, 0-9, '-' and '_', "
                      "not starting with '-'",
                      kMaxNameBytes));
    }
  }

  void ReadPositiveInteger(std::string_view key,
                           uint32_t max,
                           Presence presence,
                           uint32_t& value) {
    const Json* json = Find(key, presence);
    if (!json) {
      return;
    }
    if (!json->is_number_integer()) {
      m_first_error.Fail(PathOf(key), "must be an integer");
      return;
    }
    const bool is_in_range = json->is_number_unsigned() &&
                             json->get<uint64_t>() >= 1 &&
                             json->get<uint64_t>() <= max;
    if (!is_in_range) {
      m_first_error.Fail(PathOf(key), fmt::format("must be from 1 to {}", max));
      return;
    }
    value = json->get<uint32_t>();
  }

  void ReadNumber(std::string_view key,
                  double min,
                  double max,
                  Presence presence,
                  double& value) {
    const Json* json = Find(key, presence);
    if (!json) {
      return;
    }
    if (!json->is_number()) {
      m_first_error.Fail(PathOf(key), "must be a number");
      return;
    }
    const auto number = json->get<double>();
    if (!std::isfinite(number) || number < min || number > max) {
      m_first_error.Fail(PathOf(key),
                         fmt::format("must be from {} to {}", min, max));
      return;
    }
    value = number;
  }

  void ReadMillis(std::string_view key, double min, double max, Millis& value) {
    double millis = 0;
    ReadNumber(key, min, max, Presence::kRequired, millis);
    value = Millis(millis);
  }

  void ReadBool(std::string_view key, bool& value) {
    const Json* json = Find(key, Presence::kOptional);
    if (!json) {
      return;
    }
    if (!json->is_boolean()) {
      m_first_error.Fail(PathOf(key), "must be true or false");
      return;
    }
    value = json->get<bool>();
  }

  template <typename Enum, size_t kCount>
  void ReadChoice(
      std::string_view key,
      const std::array<std::pair<std::string_view, Enum>, kCount>& choices,
      Enum& value) {
    const Json* json = Find(key, Presence::kRequired);
    if (!json) {
      return;
    }
    if (!json->is_string()) {
      m_first_error.Fail(PathOf(key), "must be a string");
      return;
    }
    std::string names;
    for (const auto& [name, choice] : choices) {
      if (json->get_ref<const std::string&>() == name) {
        value = choice;
        return;
      }
      names += fmt::format("{}{}", names.empty() ? "" : ", ", name);
    }
    m_first_error.Fail(PathOf(key), fmt::format("must be one of {}", names));
  }

  // Reads a non-empty list of objects whose names are unique.
  template <typename Spec, typename Read>
  void ReadList(std::string_view key, Read read, std::vector<Spec>& specs) {
    const Json* json = Find(key, Presence::kRequired);
    if (!json) {
      return;
    }
    if (!json->is_array()) {
      m_first_error.Fail(PathOf(key), "must be a list");
      return;
    }
    if (json->empty()) {
      m_first_error.Fail(PathOf(key), "must not be empty");
      return;
    }
    std::set<std::string> names;
    for (const Json& element : *json) {
      const std::string path = fmt::format("{}[{}]", PathOf(key), specs.size());
      ObjectReader object(m_first_error, element, path);
      Spec spec = read(object);
      if (m_first_error.ok() && !names.insert(spec.name).second) {
        m_first_error.Fail(object.PathOf("name"), "duplicate name");
      }
      if (!m_first_error.ok()) {
        return;
      }
      specs.push_back(std::move(spec));
    }
  }

 private:
  const Json* Find(std::string_view key, Presence presence) {
    if (!m_first_error.ok()) {
      return nullptr;
    }
    const auto it = m_json.find(key);
    if (it != m_json.end()) {
      return &*it;
    }
    if (presence == Presence::kRequired) {
      m_first_error.Fail(PathOf(key), "missing key");
    }
    return nullptr;
  }

  FirstError& m_first_error;
  const Json& m_json;
  std::string m_path;
};

IndexSpec ReadIndex(ObjectReader& object) {
  IndexSpec index;
  object.CheckKeys({"name", "shards", "replicas", "slots", "connections",
                    "connect_ms", "reports_load"});
  object.ReadName("name", index.name);
  object.ReadPositiveInteger("shards", kMaxShards, Presence::kRequired,
                             index.shards);
  object.ReadPositiveInteger("replicas", kMaxReplicas, Presence::kRequired,
                             index.replicas);
  object.ReadPositiveInteger("slots", kMaxSlots, Presence::kRequired,
                             index.slots);
  object.ReadPositiveInteger("connections", kMaxConnections,
                             Presence::kRequired, index.max_connections);
  object.ReadMillis("connect_ms", 0, kMaxConnectMillis, index.connect_time);
  object.ReadBool("reports_load", index.reports_load);
  return index;
}

ClassSpec ReadClass(ObjectReader& object) {
  static constexpr std::array<std::pair<std::string_view, RequestShape>, 3>
      kShapes = {{{"every_shard", RequestShape::kEveryShard},
                  {"first_matches", RequestShape::kFirstMatches},
                  {"one_server", RequestShape::kOneServer}}};
  static constexpr std::array<std::pair<std::string_view, Urgency>, 2>
      kUrgencies = {
          {{"urgent", Urgency::kUrgent}, {"patient", Urgency::kPatient}}};
  ClassSpec spec;
  object.CheckKeys({"name", "index", "shape", "deadline_ms", "urgency",
                    "matches", "min_coverage", "idempotent"});
  object.ReadName("name", spec.name);
  object.ReadName("index", spec.index);
  object.ReadChoice("shape", kShapes, spec.shape);
  object.ReadMillis("deadline_ms", kMinDeadlineMillis, kMaxDeadlineMillis,
                    spec.timeout);
  object.ReadChoice("urgency", kUrgencies, spec.urgency);
  object.ReadPositiveInteger("matches", kMaxMatches, Presence::kOptional,
                             spec.matches);
  object.ReadNumber("min_coverage", 0, 1, Presence::kOptional,
                    spec.min_coverage);
  object.ReadBool("idempotent", spec.idempotent);
  return spec;
}

TenantShare ReadTenant(ObjectReader& object) {
  TenantShare tenant;
  object.CheckKeys({"name", "share"});
  object.ReadName("name", tenant.name);
  object.ReadPositiveInteger("share", kMaxShare, Presence::kOptional,
                             tenant.share);
  return tenant;
}

void CheckIndex(const Document& document,
                const IndexSpec& index,
                const std::string& path,
                FirstError& first_error) {
  // During a rolling replacement, old and new entries run at the same time and
  // hold connections to every replica.
  const uint32_t min_connections = 2 * document.entries;
  if (index.max_connections < min_connections) {
    first_error.Fail(
        path + ".connections",
        fmt::format("must be at least twice the number of entries, {}",
                    min_connections));
  }
}

void CheckClass(const Document& document,
                const ClassSpec& spec,
                const std::string& path,
                FirstError& first_error) {
  const IndexSpec* index = document.FindIndex(spec.index);
  if (!index) {
    first_error.Fail(path + ".index", "unknown index");
    return;
  }
  const bool first_matches = spec.shape == RequestShape::kFirstMatches;
  const bool one_server = spec.shape == RequestShape::kOneServer;
  if (one_server && index->shards > 1) {
    first_error.Fail(
        path + ".shape",
        fmt::format("shape one_server needs an index with one shard; "
                    "index {} has {}",
                    index->name, index->shards));
  }
  if (first_matches && spec.matches == 0) {
    first_error.Fail(path + ".matches",
                     "missing key, required by shape first_matches");
  }
  if (!first_matches && spec.matches != 0) {
    first_error.Fail(path + ".matches",
                     "only allowed with shape first_matches");
  }
  if (!spec.idempotent && !one_server) {
    first_error.Fail(path + ".idempotent",
                     "a non-idempotent class must have shape one_server");
  }
  if (spec.timeout.count() <= index->connect_time.count()) {
    first_error.Fail(path + ".deadline_ms",
                     fmt::format("must exceed connect_ms of index {}, {}",
                                 index->name, index->connect_time.count()));
  }
}

void CheckConstraints(const Document& document, FirstError& first_error) {
  for (size_t i = 0; i < document.indexes.size(); ++i) {
    CheckIndex(document, document.indexes[i], fmt::format("indexes[{}]", i),
               first_error);
  }
  for (size_t i = 0; i < document.classes.size(); ++i) {
    CheckClass(document, document.classes[i], fmt::format("classes[{}]", i),
               first_error);
  }
}

}  // namespace

absl::StatusOr<Document> ParseDocument(std::string_view text) {
  if (text.size() > kMaxTextBytes) {
    return MakeError(
        ErrorCode::kInvalidDocument,
        fmt::format("document text exceeds {} bytes", kMaxTextBytes), "$");
  }
  if (absl::Status syntax = CheckSyntax(text); !syntax.ok()) {
    return syntax;
  }
  const Json json = Json::parse(text.begin(), text.end(), nullptr,
                                /*allow_exceptions=*/false,
                                /*ignore_comments=*/true);
  FirstError first_error;
  Document document;
  ObjectReader root(first_error, json, "");
  root.CheckKeys({"team", "entries", "indexes", "classes", "tenants"});
  root.ReadName("team", document.team);
  root.ReadPositiveInteger("entries", kMaxEntries, Presence::kOptional,
                           document.entries);
  root.ReadList("indexes", ReadIndex, document.indexes);
  root.ReadList("classes", ReadClass, document.classes);
  root.ReadList("tenants", ReadTenant, document.tenants);
  if (first_error.ok()) {
    CheckConstraints(document, first_error);
  }
  if (!first_error.ok()) {
    return first_error.status();
  }
  return document;
}

}  // namespace tanagervane
