// Command-line client of the entries' operator listeners.

#include <algorithm>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <exception>
#include <fstream>
#include <iterator>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "absl/flags/flag.h"
#include "apply.h"
#include "fmt/format.h"
#include "operator_client.h"
#include "tanagervane/program/flags.h"
#include "tanagervane/support/json_object.h"
#include "tanagervane/support/log.h"

ABSL_FLAG(
    std::string,
    operator,
    "127.0.0.1:7081",
    "operator listeners of entries, ip:port separated by commas, tried in "
    "turn");
ABSL_FLAG(
    std::string,
    key_file,
    "",
    "file with the key that authorizes writes; when empty, the environment "
    "variable TANAGERVANE_KEY is used");
ABSL_FLAG(std::string,
          author,
          "",
          "apply: author to record; when empty, the environment variable USER");
ABSL_FLAG(int64_t, base, -1, "apply: revision the change is based on");
ABSL_FLAG(bool, wait, false, "apply: wait until in force on every live entry");
ABSL_FLAG(uint32_t, wait_timeout_ms, 10000, "apply: timeout of the wait");
ABSL_FLAG(uint32_t, timeout_ms, 3000, "timeout of the wait for one reply");
ABSL_FLAG(uint64_t, from, 0, "watch: show revisions above this one");
ABSL_FLAG(uint32_t,
          watch_ms,
          0,
          "watch: exit after this time; 0 means to go on until stopped");
ABSL_FLAG(bool, json, false, "entries and history: print JSON, not a table");

namespace tanagervane {

namespace {

constexpr std::string_view kUsage =
    "tanagervane-ctl [flags] COMMAND\n"
    "  validate FILE    check a document without applying it\n"
    "  apply FILE       put a document in force\n"
    "  diff FILE        compare a document with the one in force\n"
    "  get [REVISION]   print the document in force, or that of a revision\n"
    "  history          list the revisions\n"
    "  watch            print each new revision\n"
    "  status           print the state of one entry\n"
    "  entries          print a table of all entries\n"
    "  explain ID       print the events of a recent request\n"
    "Exit status: 0 success, 1 refused, conflict or documents differ,\n"
    "2 usage error, 3 no entry reachable or outcome unknown.";

constexpr size_t kMaxDocumentBytes = 1 << 20;

std::string ReadFileOrExit(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  if (!file) {
    ExitWithUsageError(fmt::format("cannot read the file \"{}\"", path));
  }
  std::string text{std::istreambuf_iterator<char>(file),
                   std::istreambuf_iterator<char>()};
  if (text.size() > kMaxDocumentBytes) {
    ExitWithUsageError(
        fmt::format("the file \"{}\" is larger than 1 MB", path));
  }
  return text;
}

std::string ReadOperatorKey() {
  std::string key;
  if (const std::string path = absl::GetFlag(FLAGS_key_file); !path.empty()) {
    key = ReadFileOrExit(path);
  } else if (const char* value = std::getenv("TANAGERVANE_KEY")) {
    key = value;
  }
  while (!key.empty() &&
         std::string_view("\r\n ").find(key.back()) != std::string_view::npos) {
    key.pop_back();
  }
  if (key.empty()) {
    ExitWithUsageError(
        "missing operator key: set --key_file or TANAGERVANE_KEY");
  }
  // The key is sent in an HTTP header, which a line break would end.
  for (char c : key) {
    if (c <= ' ' || c > '~') {
      ExitWithUsageError(
          "the operator key contains a character that is not printable ASCII");
    }
  }
  return key;
}

std::string GetAuthor() {
  if (std::string author = absl::GetFlag(FLAGS_author); !author.empty()) {
    return author;
  }
  const char* user = std::getenv("USER");
  return user ? user : "";
}

// Prints the reply to a GET request.
int PrintReply(OperatorClient& client, const std::string& path) {
  const auto reply = client.Read(path);
  if (!reply.ok()) {
    return ReportUnreachable(reply.status());
  }
  if (!reply->ok()) {
    return ReportRefusal(*reply);
  }
  fmt::print("{}\n",
             reply->json.is_discarded()
                 ? reply->body
                 : reply->json.dump(2, ' ', false,
                                    nlohmann::json::error_handler_t::replace));
  return kExitSuccess;
}

int Validate(OperatorClient& client, const std::string& file) {
  const auto reply =
      client.Write("POST", "/v1/document/validate", {}, ReadFileOrExit(file));
  if (!reply.ok()) {
    return ReportUnreachable(reply.status());
  }
  if (!reply->ok()) {
    return ReportRefusal(*reply);
  }
  fmt::print("valid\n");
  return kExitSuccess;
}

int RunApply(OperatorClient& client, const std::string& file) {
  ApplyOptions options;
  options.text = ReadFileOrExit(file);
  options.key = ReadOperatorKey();
  options.author = GetAuthor();
  if (const int64_t base = absl::GetFlag(FLAGS_base); base >= 0) {
    options.base = static_cast<uint64_t>(base);
  }
  options.wait = absl::GetFlag(FLAGS_wait);
  options.wait_timeout = Millis(absl::GetFlag(FLAGS_wait_timeout_ms));
  return Apply(client, options);
}

// Returns the value at `pointer` as JSON, or "(none)".
std::string ValueAt(const nlohmann::json& root, const std::string& pointer) {
  const nlohmann::json::json_pointer position(pointer);
  return root.contains(position) ? DumpJson(root.at(position)) : "(none)";
}

int Diff(OperatorClient& client, const std::string& file) {
  const nlohmann::json submitted = ParseJsonWithComments(ReadFileOrExit(file));
  if (submitted.is_discarded()) {
    ExitWithUsageError(fmt::format("the file \"{}\" is not valid JSON", file));
  }
  const auto current = ReadDocument(client);
  if (!current.ok()) {
    return ReportUnreachable(current.status());
  }
  const auto changes = nlohmann::json::diff(current->document, submitted);
  fmt::print("revision={} differences={}\n", current->revision, changes.size());
  for (const auto& change : changes) {
    const std::string path = change.at("path").get<std::string>();
    const bool removed = change.at("op") == "remove";
    // A path that ends with "/-" appends to an array, so there is no old value.
    const bool appended = path.ends_with("/-");
    fmt::print("{}\n  old: {}\n  new: {}\n", path.empty() ? "/" : path,
               appended ? "(none)" : ValueAt(current->document, path),
               removed ? "(none)" : DumpJson(change.at("value")));
  }
  return changes.empty() ? kExitSuccess : kExitFailure;
}

// Prints rows with aligned columns.
void PrintTable(const std::vector<std::vector<std::string>>& rows) {
  std::vector<size_t> widths;
  for (const auto& row : rows) {
    widths.resize(std::max(widths.size(), row.size()));
    for (size_t i = 0; i < row.size(); ++i) {
      widths[i] = std::max(widths[i], row[i].size());
    }
  }
  for (const auto& row : rows) {
    std::string line;
    for (size_t i = 0; i < row.size(); ++i) {
      line += fmt::format("{:<{}}  ", row[i], widths[i]);
    }
    fmt::print("{}\n", line.substr(0, line.find_last_not_of(' ') + 1));
  }
}

// Formats a member of `object` for a table cell; "-" when it is absent.
std::string FormatCell(const nlohmann::json& object, const std::string& key) {
  if (!object.is_object() || !object.contains(key)) {
    return "-";
  }
  const nlohmann::json& value = object.at(key);
  return value.is_string() ? value.get<std::string>() : DumpJson(value);
}

// Prints the array `member` of the reply to `path` as a table with `columns`,
// or the whole reply with --json or without such an array.
int PrintList(OperatorClient& client,
              const std::string& path,
              const std::string& member,
              const std::vector<std::string>& columns) {
  const auto reply = client.Read(path);
  if (!reply.ok()) {
    return ReportUnreachable(reply.status());
  }
  if (!reply->ok()) {
    return ReportRefusal(*reply);
  }
  const nlohmann::json& json = reply->json;
  const bool has_list =
      json.is_object() && json.contains(member) && json.at(member).is_array();
  if (!has_list || absl::GetFlag(FLAGS_json)) {
    fmt::print("{}\n", reply->body);
    return kExitSuccess;
  }
  std::vector<std::vector<std::string>> rows = {columns};
  for (const auto& item : json.at(member)) {
    std::vector<std::string> row;
    row.reserve(columns.size());
    for (const std::string& column : columns) {
      // An element that is not an object, such as a plain revision number,
      // fills the first column.
      row.push_back(item.is_object() ? FormatCell(item, column)
                    : row.empty()    ? DumpJson(item)
                                     : "-");
    }
    rows.push_back(std::move(row));
  }
  PrintTable(rows);
  return kExitSuccess;
}

int Watch(OperatorClient& client) {
  constexpr uint64_t kMaxPollMs = 10000;
  uint64_t from = absl::GetFlag(FLAGS_from);
  const Millis started = client.loop().Now();
  const Millis duration(absl::GetFlag(FLAGS_watch_ms));
  while (duration == Millis() || client.loop().Now() - started < duration) {
    const double remaining_ms =
        duration == Millis()
            ? static_cast<double>(kMaxPollMs)
            : (duration - (client.loop().Now() - started)).count() + 1;
    const auto poll_ms =
        std::min(kMaxPollMs, static_cast<uint64_t>(remaining_ms));
    const auto reply = client.Read(
        fmt::format("/v1/watch?from={}&timeout_ms={}", from, poll_ms),
        Millis(static_cast<double>(poll_ms)));
    if (!reply.ok()) {
      return ReportUnreachable(reply.status());
    }
    const uint64_t revision = UnsignedOr(reply->json, "revision", 0);
    if (reply->ok() && revision > from) {
      fmt::print("revision={} author={} accepted_at_ms={}\n", revision,
                 FormatCell(reply->json, "author"),
                 FormatCell(reply->json, "accepted_at_ms"));
      std::fflush(stdout);
      from = revision;
    } else if (reply->status >= 400) {
      return ReportRefusal(*reply);
    }
  }
  return kExitSuccess;
}

int Get(OperatorClient& client, const std::string& revision) {
  const std::string path =
      revision.empty() ? "/v1/document" : "/v1/history/" + revision;
  const auto reply = client.Read(path);
  if (!reply.ok()) {
    return ReportUnreachable(reply.status());
  }
  if (!reply->ok()) {
    return ReportRefusal(*reply);
  }
  LogEvent("document")
      .Field("revision", UnsignedOr(reply->json, "revision", 0))
      .Field("author", reply->TextOr("author", ""))
      .Field("accepted_at_ms", UnsignedOr(reply->json, "accepted_at_ms", 0));
  // An entry that returns the document as a string keeps its comments and
  // layout; print that unchanged.
  const bool is_text = reply->json.is_object() &&
                       reply->json.contains("document") &&
                       reply->json.at("document").is_string();
  fmt::print("{}\n", is_text
                         ? reply->TextOr("document", "")
                         : ExtractDocument(reply->json)
                               .dump(2, ' ', false,
                                     nlohmann::json::error_handler_t::replace));
  return kExitSuccess;
}

// Exits with a usage error unless `text` can be a URL path segment unescaped.
void CheckPathSegment(const std::string& text) {
  for (char c : text) {
    const bool allowed = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
                         (c >= '0' && c <= '9') || c == '-' || c == '_' ||
                         c == '.' || c == ':';
    if (!allowed) {
      ExitWithUsageError(
          fmt::format("\"{}\" is not a request id or a revision", text));
    }
  }
}

int RunCommand(const std::vector<std::string>& arguments) {
  struct Command {
    size_t min_arguments;
    size_t max_arguments;
  };
  static const std::map<std::string, Command> commands = {
      {"validate", {1, 1}}, {"apply", {1, 1}},   {"diff", {1, 1}},
      {"get", {0, 1}},      {"history", {0, 0}}, {"watch", {0, 0}},
      {"status", {0, 0}},   {"entries", {0, 0}}, {"explain", {1, 1}}};
  const auto command =
      arguments.empty() ? commands.end() : commands.find(arguments[0]);
  if (command == commands.end()) {
    ExitWithUsageError("missing or unknown command; see --help");
  }
  const std::string& name = command->first;
  const size_t argument_count = arguments.size() - 1;
  if (argument_count < command->second.min_arguments ||
      argument_count > command->second.max_arguments) {
    ExitWithUsageError(
        fmt::format("wrong number of arguments for \"{}\"; see --help", name));
  }
  const std::string argument = argument_count > 0 ? arguments[1] : "";
  const auto addresses = SplitList(absl::GetFlag(FLAGS_operator), ',');
  if (addresses.empty()) {
    ExitWithUsageError("flag --operator names no address");
  }
  EventLoop loop;
  OperatorClient client(loop, addresses,
                        Millis(absl::GetFlag(FLAGS_timeout_ms)));
  if (name == "validate") {
    return Validate(client, argument);
  }
  if (name == "apply") {
    return RunApply(client, argument);
  }
  if (name == "diff") {
    return Diff(client, argument);
  }
  if (name == "watch") {
    return Watch(client);
  }
  if (name == "status") {
    return PrintReply(client, "/v1/status");
  }
  if (name == "history") {
    return PrintList(client, "/v1/history", "revisions",
                     {"revision", "author", "accepted_at_ms"});
  }
  if (name == "entries") {
    return PrintList(client, "/v1/entries", "entries",
                     {"id", "state", "liveness", "data_centre",
                      "caller_address", "document_revision"});
  }
  CheckPathSegment(argument);
  return name == "get" ? Get(client, argument)
                       : PrintReply(client, "/v1/explain/" + argument);
}

}  // namespace

}  // namespace tanagervane

int main(int argc, char** argv) {
  try {
    const auto arguments = tanagervane::ParseProgramFlags(
        argc, argv,
        {"tanagervane-ctl", TANAGERVANE_VERSION, tanagervane::kUsage});
    return tanagervane::RunCommand(arguments);
  } catch (const std::exception& error) {
    std::fprintf(stderr, "event=internal_error detail=\"%s\"\n", error.what());
  }
  return tanagervane::kExitFailure;
}
