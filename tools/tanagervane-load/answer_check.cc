// Parsing of responses and checks of shards and rows.

#include "answer_check.h"

#include <algorithm>
#include <cstddef>
#include <set>

#include "fmt/format.h"
#include "nlohmann/json.hpp"

namespace tanagervane {

namespace {

using nlohmann::json;

std::string StringOr(const json& object,
                     const char* key,
                     const char* fallback) {
  const auto found = object.find(key);
  return found != object.end() && found->is_string() ? found->get<std::string>()
                                                     : fallback;
}

uint64_t NumberOr(const json& object, const char* key, uint64_t fallback) {
  const auto found = object.find(key);
  return found != object.end() && found->is_number_unsigned()
             ? found->get<uint64_t>()
             : fallback;
}

const json& ArrayOrEmpty(const json& object, const char* key) {
  static const json empty = json::array();
  const auto found = object.find(key);
  return found != object.end() && found->is_array() ? *found : empty;
}

// True when a shard is missing for another reason than "not_needed". Shards
// that were not queried because enough matches had arrived do not make an
// answer partial.
bool HasUnansweredShard(const json& missing) {
  return std::any_of(missing.begin(), missing.end(), [](const json& item) {
    return !item.is_object() || StringOr(item, "reason", "") != "not_needed";
  });
}

// Adds the shard number `item` to `shards`. Returns false when it is no number
// below `count` or already in the set.
bool AddShard(const json& item, uint64_t count, std::set<uint64_t>& shards) {
  if (!item.is_number_unsigned() || item.get<uint64_t>() >= count) {
    return false;
  }
  return shards.insert(item.get<uint64_t>()).second;
}

std::string CheckShards(const json& answer) {
  const uint64_t count = NumberOr(answer, "shard_count", 0);
  std::set<uint64_t> covered;
  std::set<uint64_t> results;
  for (const json& item : ArrayOrEmpty(answer, "covered")) {
    if (!AddShard(item, count, covered)) {
      return "a covered shard is out of range or listed twice";
    }
  }
  for (const json& item : ArrayOrEmpty(answer, "results")) {
    if (!item.is_object() ||
        !AddShard(item.value("shard", json()), count, results)) {
      return "a result names a shard that is out of range or has another "
             "result";
    }
  }
  if (results != covered) {
    return "the covered shards differ from the shards with results";
  }
  std::set<uint64_t> all = covered;
  for (const json& item : ArrayOrEmpty(answer, "missing")) {
    if (!item.is_object() ||
        !AddShard(item.value("shard", json()), count, all)) {
      return "a missing shard is out of range, also covered, or listed twice";
    }
  }
  if (count == 0 || all.size() != count) {
    return fmt::format("{} of {} shards are neither covered nor missing",
                       count - all.size(), count);
  }
  return "";
}

std::string CheckRows(const json& answer,
                      const ExpectedAnswer& expected,
                      const RowFunction& expected_rows,
                      bool truncated) {
  RowQuery query{StringOr(answer, "index", ""),
                 NumberOr(answer, "index_version", 0),
                 0,
                 static_cast<uint32_t>(NumberOr(answer, "shard_count", 0)),
                 expected.class_name,
                 expected.payload};
  for (const json& item : ArrayOrEmpty(answer, "results")) {
    query.shard = static_cast<uint32_t>(NumberOr(item, "shard", 0));
    const std::vector<std::string> shard_rows = expected_rows(query);
    const json& actual_rows = ArrayOrEmpty(item, "rows");
    bool equal = actual_rows.size() == shard_rows.size() ||
                 (truncated && actual_rows.size() < shard_rows.size());
    for (size_t i = 0; equal && i < actual_rows.size(); ++i) {
      equal = actual_rows[i].is_string() &&
              actual_rows[i].get_ref<const std::string&>() == shard_rows[i];
    }
    if (!equal) {
      return fmt::format("shard {} of index version {} has unexpected rows",
                         query.shard, query.index_version);
    }
  }
  return "";
}

std::string CheckAnswer(const json& answer,
                        const ExpectedAnswer& expected,
                        const RowFunction& expected_rows,
                        bool complete) {
  if (StringOr(answer, "request_id", "") != expected.request_id) {
    return "the request id of the answer differs from that of the request";
  }
  if (std::string error = CheckShards(answer); !error.empty()) {
    return error;
  }
  const json& missing = ArrayOrEmpty(answer, "missing");
  if (complete && HasUnansweredShard(missing)) {
    return "the answer is marked complete, but shards are missing";
  }
  if (!expected_rows) {
    return "";
  }
  const bool truncated = !missing.empty() && !HasUnansweredShard(missing);
  return CheckRows(answer, expected, expected_rows, truncated);
}

}  // namespace

std::string_view ToString(ResultKind kind) {
  switch (kind) {
    case ResultKind::kComplete:
      return "complete";
    case ResultKind::kPartial:
      return "partial";
    case ResultKind::kRefused:
      return "refused";
    case ResultKind::kTimedOut:
      return "timed_out";
    case ResultKind::kFailed:
      break;
  }
  return "failed";
}

RequestResult ParseAnswer(const HttpResponse& response,
                          const ExpectedAnswer& expected,
                          const RowFunction& expected_rows) {
  RequestResult result;
  const json answer = json::parse(response.body, nullptr, false);
  if (!answer.is_object()) {
    result.error = fmt::format("http_{}_not_json", response.status);
    result.outcome = "unknown";
    return result;
  }
  result.extra_attempts =
      static_cast<uint32_t>(NumberOr(answer, "extra_attempts", 0));
  if (response.status != 200 || answer.contains("error")) {
    result.kind = ResultKind::kRefused;
    result.error = StringOr(answer, "error", "none");
    result.outcome = StringOr(answer, "outcome", "unknown");
    return result;
  }
  const json& missing = ArrayOrEmpty(answer, "missing");
  const auto complete_field = answer.find("complete");
  const bool complete =
      complete_field != answer.end() && *complete_field == true;
  result.covered =
      static_cast<uint32_t>(ArrayOrEmpty(answer, "covered").size());
  result.missing = static_cast<uint32_t>(missing.size());
  const bool all_needed_covered =
      complete || (!missing.empty() && !HasUnansweredShard(missing));
  result.kind =
      all_needed_covered ? ResultKind::kComplete : ResultKind::kPartial;
  result.outcome = "ran";
  result.check_error = CheckAnswer(answer, expected, expected_rows, complete);
  return result;
}

}  // namespace tanagervane
