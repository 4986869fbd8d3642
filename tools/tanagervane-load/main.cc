// tanagervane-load: generates open-loop load over HTTP and prints statistics.

#include <algorithm>
#include <cstdint>
#include <cstdio>
#include <exception>
#include <fstream>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "absl/flags/flag.h"
#include "address_book.h"
#include "fmt/format.h"
#include "load_runner.h"
#include "options.h"
#include "report.h"
#include "row_function.h"
#include "send_queue.h"
#include "tanagervane/program/flags.h"
#include "tanagervane/support/log.h"

// NOLINTBEGIN(bugprone-macro-parentheses)
ABSL_FLAG(std::string,
          seeds,
          "127.0.0.1:7080",
          "listeners for callers to fetch addresses from, as a comma-separated "
          "list of ip:port");
ABSL_FLAG(bool,
          use_seeds,
          false,
          "send requests to the seeds and fetch no addresses");
ABSL_FLAG(std::string, data_centre, "", "preferred data centre");
ABSL_FLAG(
    std::string,
    mix,
    "",
    "comma-separated list of class:tenant:rate[:order]; rate in arrivals/s");
ABSL_FLAG(std::string,
          deadline,
          "",
          "comma-separated list of class:milliseconds");
ABSL_FLAG(double,
          default_deadline_ms,
          1000,
          "deadline of classes not in --deadline");
ABSL_FLAG(double, duration_s, 10, "duration of the measurement");
ABSL_FLAG(double,
          warm_up_s,
          2,
          "warm-up before the measurement, excluded from the results");
ABSL_FLAG(double,
          grace_ms,
          500,
          "time after its deadline during which an answer is still awaited");
ABSL_FLAG(uint64_t, seed, 1, "seed of arrivals and payloads");
ABSL_FLAG(std::string, payload, "q{n}", "payload; {n} becomes a random number");
ABSL_FLAG(uint64_t,
          distinct_payloads,
          1000,
          "exclusive upper bound on the number {n}");
ABSL_FLAG(std::string,
          order_payload,
          "order {key}",
          "payload of orders; {key} becomes the idempotency key");
ABSL_FLAG(bool,
          duplicate_orders,
          false,
          "send each order to two entries at the same time");
ABSL_FLAG(bool,
          resend_orders,
          true,
          "resend an order with the same key after a lost connection");
ABSL_FLAG(uint32_t, connections, 64, "connections to each entry");
ABSL_FLAG(uint32_t,
          max_in_flight,
          20000,
          "requests above this number in flight are not sent");
ABSL_FLAG(bool,
          check,
          false,
          "compare rows with those of the stand-in backend server");
ABSL_FLAG(std::string,
          matches,
          "",
          "comma-separated list of class:rows, the maximum number of rows that "
          "--check expects of a shard");
ABSL_FLAG(std::string, csv, "", "file for the statistics of each second");
ABSL_FLAG(std::string,
          plot,
          "",
          "image drawn by the gnuplot script that is written to the CSV path "
          "with .gnuplot appended");
ABSL_FLAG(std::string, record, "", "file for one JSON line for each order");
// NOLINTEND(bugprone-macro-parentheses)

namespace tanagervane {

namespace {

constexpr std::string_view kUsage =
    "tanagervane-load --mix=class:tenant:rate[:order],... [flags]\n"
    "Open-loop load over HTTP. Latency counts from the intended arrival.\n"
    "Standard error gets a table, standard output a line of key=value pairs\n"
    "for each class and one for the total.\n"
    "Exit status: 0 success, 1 wrong answers were seen or a file could not\n"
    "be written, 2 invalid usage, 3 no address could be fetched, 4 the\n"
    "statistics are not valid (see invalid_reasons).";

/// Exit status when InvalidReasons() is not empty.
constexpr int kExitInvalid = 4;

constexpr Millis kFirstAddressTimeout{5000};
constexpr double kMaxDurationS = 86400;

void CheckUsage(bool valid, std::string_view message) {
  if (!valid) {
    ExitWithUsageError(message);
  }
}

LoadOptions ReadOptions() {
  const double default_deadline = absl::GetFlag(FLAGS_default_deadline_ms);
  const double duration = absl::GetFlag(FLAGS_duration_s);
  const double warm_up = absl::GetFlag(FLAGS_warm_up_s);
  const double grace = absl::GetFlag(FLAGS_grace_ms);
  CheckUsage(default_deadline >= 1, "--default_deadline_ms must be at least 1");
  CheckUsage(duration > 0 && duration <= kMaxDurationS,
             "--duration_s must be above 0 and at most a day");
  CheckUsage(warm_up >= 0 && warm_up <= kMaxDurationS,
             "--warm_up_s must be from 0 to a day");
  CheckUsage(grace >= 0, "--grace_ms must not be negative");
  CheckUsage(absl::GetFlag(FLAGS_distinct_payloads) > 0,
             "--distinct_payloads must be positive");
  CheckUsage(absl::GetFlag(FLAGS_connections) > 0 &&
                 absl::GetFlag(FLAGS_connections) <= 20000,
             "--connections must be from 1 to 20000");
  CheckUsage(
      absl::GetFlag(FLAGS_plot).empty() || !absl::GetFlag(FLAGS_csv).empty(),
      "--plot requires --csv");
  auto streams =
      ParseMix(absl::GetFlag(FLAGS_mix), absl::GetFlag(FLAGS_deadline),
               Millis(default_deadline));
  if (!streams.ok()) {
    ExitWithUsageError(std::string(streams.status().message()));
  }
  LoadOptions options;
  options.streams = *std::move(streams);
  options.seed = absl::GetFlag(FLAGS_seed);
  options.warm_up = Millis(warm_up * 1000);
  options.duration = Millis(duration * 1000);
  options.payload = absl::GetFlag(FLAGS_payload);
  options.order_payload = absl::GetFlag(FLAGS_order_payload);
  options.distinct_payloads = absl::GetFlag(FLAGS_distinct_payloads);
  options.late_answer_timeout = Millis(grace);
  options.duplicate_orders = absl::GetFlag(FLAGS_duplicate_orders);
  options.resend_orders = absl::GetFlag(FLAGS_resend_orders);
  options.max_in_flight = absl::GetFlag(FLAGS_max_in_flight);
  return options;
}

std::map<std::string, uint32_t> ReadRowLimits() {
  const auto limits = ParseByClass(absl::GetFlag(FLAGS_matches));
  if (!limits.ok()) {
    ExitWithUsageError(std::string(limits.status().message()));
  }
  std::map<std::string, uint32_t> row_limits;
  for (const auto& [name, limit] : *limits) {
    row_limits[name] = static_cast<uint32_t>(limit);
  }
  return row_limits;
}

void OpenForWriting(std::ofstream& file, const std::string& path) {
  if (path.empty()) {
    return;
  }
  file.open(path);
  CheckUsage(file.is_open(), fmt::format("cannot write the file \"{}\"", path));
}

int ReportRun(const RunReport& report) {
  int exit_status = report.total.counts.wrong > 0 ? kExitFailure : kExitSuccess;
  const auto check_written = [&](const absl::Status& status) {
    if (!status.ok()) {
      LogEvent("report_failed").Field("detail", std::string(status.message()));
      exit_status = kExitFailure;
    }
  };
  const std::string csv = absl::GetFlag(FLAGS_csv);
  if (!csv.empty()) {
    check_written(WriteCsv(report, csv));
  }
  if (const std::string png = absl::GetFlag(FLAGS_plot); !png.empty()) {
    check_written(WritePlotScript(report, csv, png, csv + ".gnuplot"));
  }
  if (exit_status == kExitSuccess && !InvalidReasons(report).empty()) {
    exit_status = kExitInvalid;
  }
  PrintTable(report);
  PrintSummary(report);
  return exit_status;
}

int RunLoad(const std::vector<std::string>& arguments) {
  CheckUsage(arguments.empty(), "no positional arguments are supported");
  const LoadOptions options = ReadOptions();
  AddressBook::Options address_options;
  address_options.seeds = SplitList(absl::GetFlag(FLAGS_seeds), ',');
  address_options.data_centre = absl::GetFlag(FLAGS_data_centre);
  address_options.use_seeds = absl::GetFlag(FLAGS_use_seeds);
  CheckUsage(!address_options.seeds.empty(), "--seeds names no address");
  RowFunction expected_rows;
  if (absl::GetFlag(FLAGS_check)) {
    expected_rows = MakeStandInRowFunction(ReadRowLimits());
    CheckUsage(
        static_cast<bool>(expected_rows),
        "--check requires the row function of the stand-in backend server, "
        "which this build does not contain");
  }
  std::ofstream order_log;
  OpenForWriting(order_log, absl::GetFlag(FLAGS_record));
  // Fails before the run when the CSV file cannot be written.
  std::ofstream csv_probe;
  OpenForWriting(csv_probe, absl::GetFlag(FLAGS_csv));
  csv_probe.close();

  EventLoop loop;
  SendQueue queue(loop,
                  {.connections_per_host = absl::GetFlag(FLAGS_connections),
                   .max_queued_per_host = options.max_in_flight});
  AddressBook addresses(loop, std::move(address_options));
  LoadRunner runner(loop, queue, addresses, options, expected_rows, order_log);
  bool started = false;
  addresses.Start([&] {
    started = true;
    LogEvent("load_started").Field("streams", options.streams.size());
    runner.Start([&loop] { loop.Quit(); });
  });
  loop.RunAfter(kFirstAddressTimeout, [&] {
    if (!started) {
      loop.Quit();
    }
  });
  loop.SetStopSignalHandler([&] {
    if (!started) {
      loop.Quit();
    }
    runner.StopArrivals();
  });
  loop.Run();
  if (!started) {
    LogEvent("no_address").Field("detail", "no seed returned an address list");
    return kExitUnreachable;
  }
  order_log.flush();
  int exit_status = ReportRun(runner.TakeReport());
  if (order_log.is_open() && !order_log) {
    LogEvent("report_failed")
        .Field("detail", "cannot write the record of orders");
    exit_status = kExitFailure;
  }
  return exit_status;
}

}  // namespace

}  // namespace tanagervane

int main(int argc, char** argv) {
  try {
    return tanagervane::RunLoad(tanagervane::ParseProgramFlags(
        argc, argv,
        {"tanagervane-load", TANAGERVANE_VERSION, tanagervane::kUsage}));
  } catch (const std::exception& error) {
    std::fprintf(stderr, "event=internal_error detail=\"%s\"\n", error.what());
  }
  return tanagervane::kExitFailure;
}
