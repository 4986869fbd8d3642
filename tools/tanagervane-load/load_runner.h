// The open-loop generator: arrivals, sends and the end of each request.

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

/// Arrivals follow a Poisson process for each stream and do not wait for
/// answers. Arrival times and payloads depend on the seed only.
class LoadRunner {
 public:
  /// `record` receives one JSON line for each order when it is open. `loop`,
  /// `queue` and `addresses` must outlive the runner.
  LoadRunner(EventLoop& loop,
             SendQueue& queue,
             AddressBook& addresses,
             LoadOptions options,
             RowFunction rows,
             std::ofstream& record);

  /// Starts the arrivals; `done` runs after the last request has ended.
  void Start(std::function<void()> done);

  /// Ends the arrivals early; requests in flight are still waited for.
  void StopArrivals();

  RunReport TakeReport();

 private:
  struct Stream {
    Random random;
    Millis next_arrival;

    /// The time until the next arrival of a Poisson process.
    Millis Gap(double rate);
  };
  struct Call;
  struct Send;

  void StartArrivals();
  void ScheduleNext();
  void OnArrivalTimer();
  void Arrive(size_t stream, Millis intended);
  void SendTo(const std::shared_ptr<Call>& call, const Send& send);
  void OnResponse(const std::shared_ptr<Call>& call,
                  const Send& send,
                  const absl::StatusOr<HttpResponse>& response);
  void OnConnectionError(const std::shared_ptr<Call>& call,
                         const Send& send,
                         const absl::Status& status);
  void EndSend(const std::shared_ptr<Call>& call,
               const Send& send,
               RequestResult result);
  void Account(Call& call, const RequestResult& result);
  void WriteRecord(const Call& call);
  std::string BodyOf(const Call& call, const Send& send) const;
  Counts& SecondCounts(const Call& call);
  void FinishIfIdle();

  EventLoop& m_loop;
  SendQueue& m_queue;
  AddressBook& m_addresses;
  LoadOptions m_options;
  RowFunction m_rows;
  std::ofstream& m_record;
  PreciseTimer m_timer;
  std::function<void()> m_done;
  std::vector<Stream> m_streams;
  RunReport m_report;
  std::string m_run_id;
  uint64_t m_next_id = 0;
  size_t m_in_flight = 0;
  size_t m_wrong_logged = 0;
  Millis m_start;
  Millis m_end;
  bool m_arrivals_ended = false;
};

}  // namespace tanagervane

#endif  // TANAGERVANE_TOOLS_LOAD_LOAD_RUNNER_H_
