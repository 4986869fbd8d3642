// Output of statistics as table, summary lines, CSV and gnuplot script.

#include "report.h"

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <cstdio>
#include <fstream>
#include <string_view>

#include "fmt/format.h"
#include "tanagervane/support/error.h"

namespace tanagervane {

namespace {

namespace ba = boost::accumulators;

// Bounds above which the statistics are invalid. Latencies count from the
// intended arrival, so that the send lag adds to them. A high 99% quantile
// shows a generator that is too slow, a high maximum one that was blocked.
constexpr Millis kMaxSendLagP99{10};
constexpr Millis kMaxSendLag{500};

bool IsAnswer(const RequestResult& result) {
  return result.kind == ResultKind::kComplete ||
         result.kind == ResultKind::kPartial;
}

double Fraction(uint64_t count, uint64_t total) {
  return total == 0 ? 0
                    : static_cast<double>(count) / static_cast<double>(total);
}

std::string FormatCounts(const std::map<std::string, uint64_t>& counts) {
  std::string text;
  for (const auto& [name, count] : counts) {
    text += fmt::format("{}{}:{}", text.empty() ? "" : ",", name, count);
  }
  return text.empty() ? "-" : text;
}

std::string_view RequestKindName(const StreamSpec& spec) {
  return spec.is_order ? "order" : "query";
}

std::string FormatStats(const StreamStats& stats, Millis measured_duration) {
  const ResultCounts& counts = stats.counts;
  const bool has_answers = stats.answer_latency.count() > 0;
  const double seconds = measured_duration.count() / 1000.0;
  std::string line = fmt::format(
      "sent={} complete={} partial={} refused={} failed={} timed_out={} "
      "in_time={} in_time_share={:.5f} complete_share={:.5f} wrong={} "
      "resent={} failed_connections={} extra_attempts={} max_covered={} "
      "max_missing={} sent_per_s={:.1f} useful_per_s={:.1f}",
      counts.sent, counts.complete, counts.partial, counts.refused,
      counts.failed, counts.timed_out, counts.in_time,
      Fraction(counts.in_time, counts.sent),
      Fraction(counts.complete, counts.sent), counts.wrong, counts.resent,
      counts.failed_connections, counts.extra_attempts, stats.max_covered,
      stats.max_missing,
      seconds > 0 ? static_cast<double>(counts.sent) / seconds : 0,
      seconds > 0 ? static_cast<double>(counts.in_time) / seconds : 0);
  line += fmt::format(
      " mean_ms={:.3f} stddev_ms={:.3f}",
      has_answers ? ba::mean(stats.moments) : 0,
      has_answers ? std::sqrt(std::max(0.0, ba::variance(stats.moments))) : 0);
  for (const auto& [name, q] :
       {std::pair("p50", 0.5), std::pair("p90", 0.9), std::pair("p99", 0.99),
        std::pair("p99.9", 0.999)}) {
    line += fmt::format(" {}_ms={:.3f}", name,
                        stats.answer_latency.Quantile(q).count());
  }
  line += fmt::format(" max_ms={:.3f} all_p99_ms={:.3f} all_max_ms={:.3f}",
                      stats.answer_latency.max().count(),
                      stats.request_duration.Quantile(0.99).count(),
                      stats.request_duration.max().count());
  line += fmt::format(" refusals={} failures={}", FormatCounts(stats.refusals),
                      FormatCounts(stats.failures));
  return line;
}

// Returns the q-quantile of `sorted`, or zero when it is empty.
double SortedQuantile(const std::vector<float>& sorted, double q) {
  if (sorted.empty()) {
    return 0;
  }
  const auto rank = static_cast<size_t>(
      std::ceil(q * static_cast<double>(sorted.size()) - 1e-9));
  return sorted[std::min(std::max<size_t>(rank, 1), sorted.size()) - 1];
}

void PrintRow(std::string_view name, const StreamStats& stats) {
  const ResultCounts& counts = stats.counts;
  fmt::print(stderr,
             "{:<34} {:>8} {:>8} {:>7} {:>7} {:>7} {:>7} {:>8.3f} {:>6} "
             "{:>8.2f} {:>8.2f} {:>8.2f} {:>8.2f} {:>8.2f}\n",
             name, counts.sent, counts.complete, counts.partial, counts.refused,
             counts.failed + counts.timed_out, counts.failed_connections,
             100 * Fraction(counts.in_time, counts.sent), counts.wrong,
             stats.answer_latency.Quantile(0.5).count(),
             stats.answer_latency.Quantile(0.9).count(),
             stats.answer_latency.Quantile(0.99).count(),
             stats.answer_latency.Quantile(0.999).count(),
             stats.answer_latency.max().count());
}

absl::Status FlushFile(std::ofstream& file, const std::string& path) {
  file.flush();
  if (!file) {
    return MakeError(ErrorCode::kInternal,
                     fmt::format("cannot write the file \"{}\"", path));
  }
  return absl::OkStatus();
}

}  // namespace

void ResultCounts::Add(const RequestResult& result, bool within_deadline) {
  ++sent;
  switch (result.kind) {
    case ResultKind::kComplete:
      ++complete;
      in_time += within_deadline ? 1 : 0;
      break;
    case ResultKind::kPartial:
      ++partial;
      break;
    case ResultKind::kRefused:
      ++refused;
      break;
    case ResultKind::kFailed:
      ++failed;
      break;
    case ResultKind::kTimedOut:
      ++timed_out;
      break;
  }
  wrong += result.check_error.empty() ? 0 : 1;
  extra_attempts += result.extra_attempts;
}

void StreamStats::Add(const RequestResult& result,
                      Millis latency,
                      Millis deadline) {
  counts.Add(result, latency.count() <= deadline.count());
  request_duration.Record(latency);
  if (IsAnswer(result)) {
    answer_latency.Record(latency);
    moments(latency.count());
    max_covered = std::max(max_covered, result.covered);
    max_missing = std::max(max_missing, result.missing);
  } else if (result.kind == ResultKind::kRefused) {
    ++refusals[fmt::format("{}/{}", result.error, result.outcome)];
  } else {
    ++failures[result.error];
  }
}

std::string InvalidReasons(const RunReport& report) {
  std::string reasons;
  const auto add = [&](bool condition, std::string_view reason) {
    if (condition) {
      reasons += fmt::format("{}{}", reasons.empty() ? "" : ",", reason);
    }
  };
  const auto failed = [&](std::string_view cause) {
    return report.total.failures.contains(std::string(cause));
  };
  add(failed(kNoAddress), kNoAddress);
  add(failed(kGeneratorLimit), kGeneratorLimit);
  add(report.send_lag.Quantile(0.99) > kMaxSendLagP99 ||
          report.send_lag.max() > kMaxSendLag,
      "generator_lag");
  add(report.total.counts.sent == 0, "nothing_sent");
  return reasons;
}

void PrintTable(const RunReport& report) {
  fmt::print(stderr,
             "{:<34} {:>8} {:>8} {:>7} {:>7} {:>7} {:>7} {:>8} {:>6} {:>8} "
             "{:>8} {:>8} {:>8} {:>8}\n",
             "class/tenant", "sent", "complete", "partial", "refused", "failed",
             "conn", "in time%", "wrong", "p50 ms", "p90 ms", "p99 ms",
             "p99.9 ms", "max ms");
  for (const StreamReport& stream : report.streams) {
    PrintRow(stream.spec.class_name + "/" + stream.spec.tenant,
             stream.measured);
  }
  PrintRow("total", report.total);
}

void PrintSummary(const RunReport& report) {
  for (const StreamReport& stream : report.streams) {
    fmt::print("class={} tenant={} kind={} rate={} deadline_ms={} {}\n",
               stream.spec.class_name, stream.spec.tenant,
               RequestKindName(stream.spec), stream.spec.rate,
               stream.spec.deadline.count(),
               FormatStats(stream.measured, report.measured_duration));
  }
  const std::string reasons = InvalidReasons(report);
  fmt::print(
      "total valid={} invalid_reasons={} measured_s={:.3f} "
      "send_lag_p99_ms={:.3f} send_lag_max_ms={:.3f} {}\n",
      reasons.empty() ? "yes" : "no", reasons.empty() ? "-" : reasons,
      report.measured_duration.count() / 1000.0,
      report.send_lag.Quantile(0.99).count(), report.send_lag.max().count(),
      FormatStats(report.total, report.measured_duration));
  std::fflush(stdout);
}

absl::Status WriteCsv(const RunReport& report, const std::string& path) {
  std::ofstream file(path);
  file << "second,class,tenant,kind,warm_up,sent,complete,partial,refused,"
          "failed,timed_out,in_time,wrong,extra_attempts,failed_connections,"
          "p50_ms,p99_ms,max_ms\n";
  size_t seconds = 0;
  for (const StreamReport& stream : report.streams) {
    seconds = std::max(seconds, stream.seconds.size());
  }
  for (size_t second = 0; second < seconds; ++second) {
    for (const StreamReport& stream : report.streams) {
      SecondStats stats;
      if (second < stream.seconds.size()) {
        stats = stream.seconds[second];
      }
      std::sort(stats.latencies.begin(), stats.latencies.end());
      const ResultCounts& counts = stats.counts;
      const bool warm_up =
          static_cast<double>(second) * 1000 < report.warm_up.count();
      file << fmt::format(
          "{},{},{},{},{},{},{},{},{},{},{},{},{},{},{},{:.3f},{:.3f},{:.3f}\n",
          second, stream.spec.class_name, stream.spec.tenant,
          RequestKindName(stream.spec), warm_up ? 1 : 0, counts.sent,
          counts.complete, counts.partial, counts.refused, counts.failed,
          counts.timed_out, counts.in_time, counts.wrong, counts.extra_attempts,
          counts.failed_connections, SortedQuantile(stats.latencies, 0.5),
          SortedQuantile(stats.latencies, 0.99),
          SortedQuantile(stats.latencies, 1));
    }
  }
  return FlushFile(file, path);
}

absl::Status WritePlotScript(const RunReport& report,
                             const std::string& csv,
                             const std::string& png,
                             const std::string& script) {
  std::ofstream file(script);
  file << "set datafile separator ','\n"
          "set terminal pngcairo size 1200,900\n"
       << fmt::format("set output '{}'\n", png)
       << "set multiplot layout 2,1\nset grid\nset key outside\n"
          "set xlabel 'second of intended arrival'\n";
  constexpr std::string_view kP99Column = "17";
  const auto plot = [&](std::string_view title, std::string_view value) {
    file << fmt::format("set ylabel '{}'\nset yrange [0:*]\nplot \\\n", title);
    for (size_t i = 0; i < report.streams.size(); ++i) {
      const StreamSpec& spec = report.streams[i].spec;
      file << fmt::format(
          "  '{}' using 1:((strcol(2) eq '{}' && strcol(3) eq '{}' && "
          "strcol(4) eq '{}') ? ({}) : NaN) skip 1 with linespoints title "
          "'{}/{}' noenhanced{}\n",
          csv, spec.class_name, spec.tenant, RequestKindName(spec), value,
          spec.class_name, spec.tenant,
          i + 1 < report.streams.size() ? ", \\" : "");
    }
  };
  plot("p99 of answers, ms", fmt::format("column({})", kP99Column));
  plot("share complete in time", "$6 > 0 ? $12 / $6 : NaN");
  file << "unset multiplot\n";
  return FlushFile(file, script);
}

}  // namespace tanagervane
