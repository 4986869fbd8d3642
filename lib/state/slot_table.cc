// The table is the platform object slots/<group>.

#include "tanagervane/state/slot_table.h"

#include <algorithm>
#include <cassert>
#include <utility>

#include "nlohmann/json.hpp"
#include "tanagervane/support/json_text.h"
#include "tanagervane/support/log.h"

namespace tanagervane {

namespace {

constexpr char kObjectKind[] = "slots";
constexpr Millis kCallTimeout{2000};
/// Mean interval between reads of a table without a free slot.
constexpr Millis kFullRetryInterval{2000};
/// A holder that is absent from the VM list for this long loses its slot.
constexpr Millis kReclaimTimeout{60000};
/// A process that was paused for longer than this may have lost its slot.
constexpr Millis kPauseThreshold{10000};
/// Two VM lists with a longer gap do not prove that a VM was absent in between.
constexpr Millis kMaxListGap{30000};
constexpr double kInitialBackoffMs = 50;
constexpr double kMaxBackoffMs = 2000;
constexpr Millis kNever{1e15};

}  // namespace

ConnectionSlotTable::ConnectionSlotTable(Options options,
                                         PlatformApi platform,
                                         ClockHook clock,
                                         Hooks hooks)
    : m_options(std::move(options)),
      m_platform(std::move(platform)),
      m_clock(std::move(clock)),
      m_hooks(std::move(hooks)),
      m_random(m_options.seed),
      m_last_tick(m_clock()) {}

void ConnectionSlotTable::Acquire(uint32_t capacity) {
  m_capacity = capacity;
  if (m_goal == Goal::kIdle) {
    m_goal = Goal::kHold;
    m_next_call = m_clock();
    m_last_tick = m_next_call;
  }
}

void ConnectionSlotTable::Release(Millis timeout,
                                  std::function<void(bool freed)> done) {
  const Millis now = m_clock();
  assert(m_goal != Goal::kRelease && "Release() is called once");
  m_goal = Goal::kRelease;
  m_release_done = std::move(done);
  m_release_deadline = now + timeout;
  m_next_call = now;
  m_slot.reset();
  if (!m_call.active()) {
    Read(now);
  }
}

void ConnectionSlotTable::ObserveVms(std::span<const std::string> ids,
                                     Millis now) {
  const std::set<std::string> seen(ids.begin(), ids.end());
  if (!seen.contains(m_options.self_id)) {
    // The list is stale or truncated. If the platform did remove this entry,
    // another entry may take its slot, so the slot table is read again.
    m_verify_slot = m_verify_slot || m_slot.has_value();
    return;
  }
  if (m_last_list_at && now - *m_last_list_at > kMaxListGap) {
    m_absent_since.clear();
  }
  m_last_list_at = now;
  for (const std::string& id : m_holder_ids) {
    if (seen.contains(id)) {
      m_absent_since.erase(id);
    } else {
      m_absent_since.try_emplace(id, now);
    }
  }
}

bool ConnectionSlotTable::IsReclaimable(const Holder& holder) const {
  if (m_hooks.is_alive && m_hooks.is_alive(holder.id)) {
    return false;
  }
  const auto it = m_absent_since.find(holder.id);
  return it != m_absent_since.end() && m_last_list_at &&
         *m_last_list_at - it->second >= kReclaimTimeout;
}

void ConnectionSlotTable::OnTick(Millis now) {
  if (now - m_last_tick > kPauseThreshold && m_slot) {
    m_verify_slot = true;
  }
  m_last_tick = now;
  if (m_goal == Goal::kRelease && now >= m_release_deadline) {
    m_call.Cancel();
    FinishRelease(false);
    return;
  }
  if (m_call.Overdue(now)) {
    m_call.Cancel();
    m_writing_slot.reset();
    ScheduleRetry(now);
  }
  const bool needs_call = m_goal == Goal::kRelease ||
                          (m_goal == Goal::kHold && (!m_slot || m_verify_slot));
  if (needs_call && !m_call.active() && now >= m_next_call) {
    Read(now);
  }
}

Millis ConnectionSlotTable::NextTimer() const {
  Millis next = kNever;
  if (m_call.active()) {
    next = *m_call.deadline();
  } else if (m_goal == Goal::kRelease ||
             (m_goal == Goal::kHold && (!m_slot || m_verify_slot))) {
    next = m_next_call;
  } else if (m_slot) {
    // Regular ticks while a slot is held detect a pause of the process.
    next = m_last_tick + kPauseThreshold * 0.5;
  }
  if (m_goal == Goal::kRelease) {
    next = std::min(next, m_release_deadline);
  }
  return next;
}

void ConnectionSlotTable::Read(Millis now) {
  m_platform.get(kObjectKind, m_options.group,
                 m_call.Start(now + kCallTimeout,
                              PlatformApi::ObjectDone(
                                  [this](PlatformResult result,
                                         const PlatformObject& object) {
                                    OnRead(result, object);
                                  })));
}

void ConnectionSlotTable::OnRead(PlatformResult result,
                                 const PlatformObject& object) {
  const Millis now = m_clock();
  if (result != PlatformResult::kOk && result != PlatformResult::kNotFound) {
    ScheduleRetry(now);
    return;
  }
  Holders holders;
  if (result == PlatformResult::kOk) {
    const auto json = ParseJson(object.value);
    if (!json.ok() || !json->is_array()) {
      LogEvent("slot_table_malformed").Field("group", m_options.group);
      ScheduleRetry(now);
      return;
    }
    for (const auto& item : *json) {
      if (!item.is_array() || item.size() != 3 ||
          !item[0].is_number_unsigned() || !item[1].is_string() ||
          !item[2].is_number_unsigned()) {
        LogEvent("slot_table_malformed").Field("group", m_options.group);
        ScheduleRetry(now);
        return;
      }
      holders[item[0].get<uint32_t>()] = {item[1].get<std::string>(),
                                          item[2].get<uint64_t>()};
    }
  }
  m_failures = 0;
  m_holder_ids.clear();
  for (const auto& [slot, holder] : holders) {
    m_holder_ids.insert(holder.id);
  }
  std::erase_if(m_absent_since, [this](const auto& item) {
    return !m_holder_ids.contains(item.first);
  });
  if (m_goal == Goal::kRelease) {
    WriteRelease(holders, object.version, now);
  } else {
    WriteAcquisition(holders, object.version, now);
  }
}

void ConnectionSlotTable::WriteAcquisition(const Holders& holders,
                                           uint64_t version,
                                           Millis now) {
  std::optional<uint32_t> own_slot;
  std::optional<uint32_t> available;
  const auto add_candidate = [&available](uint32_t slot) {
    available = available ? std::min(*available, slot) : slot;
  };
  for (uint32_t slot = 0; slot < m_capacity; ++slot) {
    if (!holders.contains(slot)) {
      add_candidate(slot);
    }
  }
  for (const auto& [slot, holder] : holders) {
    if (holder.id == m_options.self_id &&
        holder.incarnation == m_options.incarnation) {
      own_slot = slot;
    }
    // An earlier process on this VM has ended, and its sockets are closed.
    const bool predecessor = holder.id == m_options.self_id &&
                             holder.incarnation < m_options.incarnation;
    if (slot < m_capacity && (predecessor || IsReclaimable(holder))) {
      add_candidate(slot);
    }
  }
  m_full = !own_slot && !available;
  if (own_slot) {
    // A successful write of the same slot proves that the read was not stale.
    available = own_slot;
  }
  if (!available && m_slot) {
    // The slot was lost, unless the read was stale. A write of the unchanged
    // table succeeds only if the read was not stale.
    m_writing_slot.reset();
    Write(holders, version, now);
    return;
  }
  if (!available) {
    m_next_call =
        now + kFullRetryInterval * (0.75 + 0.5 * m_random.NextDouble());
    return;
  }
  Holders updated = holders;
  std::erase_if(updated, [this](const auto& item) {
    return item.second.id == m_options.self_id &&
           item.second.incarnation < m_options.incarnation;
  });
  updated[*available] = {m_options.self_id, m_options.incarnation};
  m_writing_slot = available;
  Write(updated, version, now);
}

void ConnectionSlotTable::WriteRelease(const Holders& holders,
                                       uint64_t version,
                                       Millis now) {
  Holders updated = holders;
  const size_t removed = std::erase_if(updated, [this](const auto& item) {
    return item.second.id == m_options.self_id &&
           item.second.incarnation <= m_options.incarnation;
  });
  if (removed == 0) {
    FinishRelease(true);
    return;
  }
  m_writing_slot.reset();
  Write(updated, version, now);
}

void ConnectionSlotTable::Write(const Holders& holders,
                                uint64_t version,
                                Millis now) {
  nlohmann::json json = nlohmann::json::array();
  for (const auto& [slot, holder] : holders) {
    json.push_back(
        nlohmann::json::array({slot, holder.id, holder.incarnation}));
  }
  m_platform.put(
      kObjectKind, m_options.group, version,
      json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace),
      m_call.Start(now + kCallTimeout,
                   PlatformApi::ObjectDone(
                       [this](PlatformResult result, const PlatformObject&) {
                         OnWrite(result);
                       })));
}

void ConnectionSlotTable::OnWrite(PlatformResult result) {
  const Millis now = m_clock();
  const std::optional<uint32_t> written =
      std::exchange(m_writing_slot, std::nullopt);
  if (result == PlatformResult::kOk && m_goal == Goal::kHold) {
    m_failures = 0;
    m_verify_slot = false;
    SetSlot(written);
    return;
  }
  if (result == PlatformResult::kOk && m_goal == Goal::kRelease && !written) {
    FinishRelease(true);
    return;
  }
  // After any other result, including a lost reply, the next read shows whether
  // this entry is in the table.
  ScheduleRetry(now);
}

void ConnectionSlotTable::SetSlot(std::optional<uint32_t> slot) {
  if (slot == m_slot) {
    return;
  }
  const bool lost = m_slot.has_value();
  m_slot = slot;
  if (lost) {
    LogEvent("slot_lost").Field("group", m_options.group);
    m_hooks.on_lost();
  }
  if (slot && m_goal == Goal::kHold) {
    LogEvent("slot_acquired")
        .Field("group", m_options.group)
        .Field("slot", *slot);
    m_hooks.on_acquired(*slot);
  }
}

void ConnectionSlotTable::FinishRelease(bool freed) {
  m_goal = Goal::kIdle;
  if (const auto done = std::exchange(m_release_done, nullptr)) {
    done(freed);
  }
}

void ConnectionSlotTable::ScheduleRetry(Millis now) {
  const double max_delay_ms = std::min(
      kMaxBackoffMs,
      kInitialBackoffMs * static_cast<double>(1U << std::min(m_failures, 10U)));
  ++m_failures;
  m_next_call = now + Millis(max_delay_ms * m_random.NextDouble());
}

}  // namespace tanagervane
