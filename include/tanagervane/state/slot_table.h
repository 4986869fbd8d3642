// This entry's numbered connection slot in the platform's slot table.

#ifndef TANAGERVANE_STATE_SLOT_TABLE_H_
#define TANAGERVANE_STATE_SLOT_TABLE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>

#include "tanagervane/state/pending_call.h"
#include "tanagervane/state/platform_api.h"
#include "tanagervane/support/millis.h"
#include "tanagervane/support/random.h"

namespace tanagervane {

/// Acquires, keeps and releases one slot of the group's slot table, which the
/// platform stores as one object. A group is the entries that share one
/// connection limit. Entries change the table with conditional writes.
class ConnectionSlotTable {
 public:
  struct Options {
    std::string group;
    std::string self_id;
    /// Greater after each restart of the process.
    uint64_t incarnation = 0;
    uint64_t seed = 0;
  };

  struct Hooks {
    std::function<void(uint32_t slot)> on_acquired;
    /// Another entry may hold the slot: the receiver must close all connections
    /// at once.
    std::function<void()> on_lost;
    /// Whether gossip shows the holder as alive. Such a holder keeps its slot
    /// even if the VM list does not show it.
    std::function<bool(const std::string& holder)> is_alive;
  };

  ConnectionSlotTable(Options options,
                      PlatformApi platform,
                      ClockHook clock,
                      Hooks hooks);

  /// Starts acquiring a slot with a number below `capacity`, and retries until
  /// it holds one. A held slot is kept when the capacity shrinks.
  void Acquire(uint32_t capacity);

  /// Releases the slot; all connections must be closed. Calls `done` within
  /// `timeout`; `freed` is true if the slot is known to be free.
  void Release(Millis timeout, std::function<void(bool freed)> done);

  /// Processes the ids of all VMs in a VM list that the platform just returned.
  /// A list without this entry is stale or truncated, and is ignored. When a
  /// watch on the list ends unchanged, call this again with the same list: if
  /// two lists are more than 30 s apart, they do not prove that a holder was
  /// absent in between.
  void ObserveVms(std::span<const std::string> ids, Millis now);

  void OnTick(Millis now);
  Millis NextTimer() const;

  std::optional<uint32_t> slot() const { return m_slot; }
  /// True when the last read of the table showed no slot that this entry may
  /// take.
  bool full() const { return m_full; }

 private:
  enum class Goal { kIdle, kHold, kRelease };
  struct Holder {
    std::string id;
    uint64_t incarnation = 0;
  };
  using Holders = std::map<uint32_t, Holder>;

  void Read(Millis now);
  void OnRead(PlatformResult result, const PlatformObject& object);
  void WriteAcquisition(const Holders& holders, uint64_t version, Millis now);
  void WriteRelease(const Holders& holders, uint64_t version, Millis now);
  void Write(const Holders& holders, uint64_t version, Millis now);
  void OnWrite(PlatformResult result);
  bool IsReclaimable(const Holder& holder) const;
  void SetSlot(std::optional<uint32_t> slot);
  void FinishRelease(bool freed);
  void ScheduleRetry(Millis now);

  Options m_options;
  PlatformApi m_platform;
  ClockHook m_clock;
  Hooks m_hooks;
  Random m_random;
  Goal m_goal = Goal::kIdle;
  uint32_t m_capacity = 0;
  std::optional<uint32_t> m_slot;
  std::optional<uint32_t> m_writing_slot;
  bool m_full = false;
  /// The slot may be lost; the table must be read again.
  bool m_verify_slot = false;
  uint32_t m_failures = 0;
  Millis m_next_call;
  Millis m_last_tick;
  Millis m_release_deadline;
  std::function<void(bool)> m_release_done;
  PendingCall m_call;
  /// Holders that are absent from the VM list, and since when.
  std::map<std::string, Millis> m_absent_since;
  std::set<std::string> m_holder_ids;
  std::optional<Millis> m_last_list_at;
};

}  // namespace tanagervane

#endif  // TANAGERVANE_STATE_SLOT_TABLE_H_
