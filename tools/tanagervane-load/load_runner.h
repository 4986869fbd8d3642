// The open-loop load generator: schedules, sends and evaluates requests.

#ifndef TANAGERVANE_TOOLS_LOAD_LOAD_RUNNER_H_
#define TANAGERVANE_TOOLS_LOAD_LOAD_RUNNER_H_

#include <cstddef>
#include <cstdint>
#include <fstream>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "address_book.h"
#include "answer_check.h"
#include "options.h"
#include "precise_timer.h"
#include "report.h"
#include "send_queue.h"
#include "tanagervane/edge/http.h"
#include "tanagervane/net/event_loop.h"
#include "tanagervane/support/random.h"

namespace tanagervane {

/// Generates requests whose arrivals are a Poisson process for each stream and
/// independent of answers. Arrival times and payloads depend only on the seed.
class LoadRunner {
 public:
  /// If `order_log` is open, one JSON line for each order is written to it.
  /// `loop`, `queue`, `addresses` and `order_log` must outlive the runner.
  LoadRunner(EventLoop& loop,
             SendQueue& queue,
             AddressBook& addresses,
             LoadOptions options,
             RowFunction expected_rows,
             std::ofstream& order_log);

  /// Opens the connections and starts the arrivals. `done` runs after the last
  /// request has ended.
  void Start(std::function<void()> done);

  /// Stops new arrivals. Requests in flight continue to their end.
  void StopArrivals();

  /// Moves the report out; called once, after `done`.
  RunReport TakeReport();

 private:
  struct Stream {
    Random random;
    Millis next_arrival;

    /// Draws the exponentially distributed time to the next arrival.
    Millis NextInterval(double rate);
  };
  struct Request;
  struct Submission;

  void StartArrivals();
  void ScheduleNext();
  void OnArrivalTimer();
  void StartRequest(size_t stream, Millis intended);
  void SendSubmission(const std::shared_ptr<Request>& request,
                      const Submission& submission);
  void OnResponse(const std::shared_ptr<Request>& request,
                  const Submission& submission,
                  const absl::StatusOr<HttpResponse>& response);
  void OnConnectionError(const std::shared_ptr<Request>& request,
                         const Submission& submission,
                         const absl::Status& status);
  void FinishSubmission(const std::shared_ptr<Request>& request,
                        const Submission& submission,
                        RequestResult result);
  void CountResult(Request& request, const RequestResult& result);
  void WriteOrderLog(const Request& request);
  std::string MakeBody(const Request& request,
                       const Submission& submission) const;
  ResultCounts& CountsOfSecond(const Request& request);
  void FinishIfIdle();

  EventLoop& m_loop;
  SendQueue& m_queue;
  AddressBook& m_addresses;
  LoadOptions m_options;
  RowFunction m_expected_rows;
  std::ofstream& m_order_log;
  PreciseTimer m_timer;
  std::function<void()> m_done;
  std::vector<Stream> m_streams;
  RunReport m_report;
  std::string m_run_id;
  uint64_t m_next_id = 0;
  size_t m_in_flight = 0;
  size_t m_logged_wrong_answers = 0;
  Millis m_start;
  Millis m_arrivals_end;
  bool m_arrivals_ended = false;
};

}  // namespace tanagervane

#endif  // TANAGERVANE_TOOLS_LOAD_LOAD_RUNNER_H_
