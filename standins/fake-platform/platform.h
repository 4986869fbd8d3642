#ifndef TANAGERVANE_STANDINS_FAKE_PLATFORM_PLATFORM_H_
#define TANAGERVANE_STANDINS_FAKE_PLATFORM_PLATFORM_H_

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

#include "nlohmann/json.hpp"
#include "standins/common/timer_queue.h"
#include "tanagervane/edge/http.h"
#include "tanagervane/support/random.h"

namespace tanagervane::standins {

/// Faults that the control port can change.
struct PlatformFaults {
  /// Answers every call, and every pending watch, with 503. The calls have no
  /// effect.
  bool down = false;
  /// Delay before a call takes effect.
  double delay_ms = 0;
  /// Delay between the effect of a call and its reply.
  double reply_delay_ms = 0;
  /// Fraction of writes that take effect but whose reply is lost.
  double lose_reply_rate = 0;
  /// Number of next writes whose reply is lost, regardless of the rate.
  uint64_t lose_next_writes = 0;
  /// Time until the caller of a write with a lost reply gets a 504.
  double lost_reply_hold_ms = 30000;
  /// Fraction of reads without a watch that return the value before the last
  /// write.
  double stale_read_rate = 0;
  /// Delay until a change of the VM list is visible to callers.
  double vm_lag_ms = 0;
};

/// Counters of platform calls, reported on the control port.
struct CallCounters {
  uint64_t get = 0;
  uint64_t watch = 0;
  uint64_t list = 0;
  uint64_t put = 0;
  uint64_t remove = 0;
  uint64_t vms = 0;
  uint64_t vms_watch = 0;
  uint64_t rejected_down = 0;
  uint64_t conflicts = 0;
  uint64_t lost_replies = 0;
  uint64_t request_bytes = 0;
  uint64_t response_bytes = 0;
  /// Maximum number of watches that waited at the same time.
  uint64_t max_pending_watches = 0;
};

/// The simulated platform API: an object store and a VM list, with injected
/// faults. All methods run on the loop.
class Platform {
 public:
  Platform(TimerQueue& timers, uint64_t seed)
      : m_timers(timers), m_random(seed) {}
  Platform(const Platform&) = delete;
  Platform& operator=(const Platform&) = delete;

  /// Serves a request of the platform API.
  void HandleRequest(const HttpRequest& request, HttpResponder done);

  const PlatformFaults& faults() const { return m_faults; }
  void SetFaults(const PlatformFaults& faults);

  /// Discards the change history: pending watches, and later watches from an
  /// older version, are answered with 410.
  void WipeHistory();

  /// The VM list as last set, which callers may not see yet (`vm_lag_ms`).
  const nlohmann::json& vms() const { return m_vms; }
  void SetVms(nlohmann::json vms);

  nlohmann::json CountersJson() const;
  void ResetCounters() { m_counters = {}; }

  /// Answers all pending watches with 503 and all held callers with 504, before
  /// the process stops.
  void AnswerAllPending();

 private:
  struct Object {
    uint64_t version = 0;
    bool exists = false;
    std::string value;
    /// The state before the last write, for stale reads.
    uint64_t previous_version = 0;
    bool previous_exists = false;
    std::string previous_value;
    /// Watches from a version below this are answered with 410.
    uint64_t min_watch_version = 0;
  };
  /// Kind and name.
  using ObjectKey = std::pair<std::string, std::string>;

  /// A watch that is not answered yet. A watch of the VM list has an empty key.
  struct PendingWatch {
    ObjectKey key;
    uint64_t from_version = 0;
    HttpResponder done;
    TimerQueue::Handle timeout;
  };

  void Serve(const HttpRequest& request, const HttpResponder& done);
  void ServeObject(const HttpRequest& request,
                   const ObjectKey& key,
                   const HttpResponder& done);
  void ServeGet(const HttpRequest& request,
                const ObjectKey& key,
                const HttpResponder& done);
  void ServeWrite(const HttpRequest& request,
                  const ObjectKey& key,
                  const HttpResponder& done);
  void ServeList(const HttpRequest& request,
                 const std::string& kind,
                 const HttpResponder& done);
  void ServeVms(const HttpRequest& request, const HttpResponder& done);
  /// Answers with 304 after `timeout_ms` unless the watch is answered earlier.
  void AddPendingWatch(ObjectKey key,
                       uint64_t from_version,
                       double timeout_ms,
                       const HttpResponder& done);
  /// Answers the pending watches for which `answer` returns a response.
  void AnswerWatches(
      const std::function<const HttpResponse*(const PendingWatch&)>& answer);
  void AnswerObjectWatches(const ObjectKey& key);
  HttpResponse ObjectResponse(const Object& object) const;
  HttpResponse VmsResponse() const;
  void CountCall(const HttpRequest& request);
  /// Decides whether the reply to the current write is lost.
  bool ShouldLoseReply();

  TimerQueue& m_timers;
  Random m_random;
  PlatformFaults m_faults;
  CallCounters m_counters;
  std::map<ObjectKey, Object> m_objects;
  std::list<PendingWatch> m_pending_watches;
  /// Responders to the callers whose reply was lost, until the 504.
  std::map<uint64_t, HttpResponder> m_held_responders;
  uint64_t m_next_held_id = 1;

  nlohmann::json m_vms = nlohmann::json::array();
  nlohmann::json m_visible_vms = nlohmann::json::array();
  uint64_t m_vms_version = 1;
  uint64_t m_min_vms_watch_version = 0;
};

}  // namespace tanagervane::standins

#endif  // TANAGERVANE_STANDINS_FAKE_PLATFORM_PLATFORM_H_
