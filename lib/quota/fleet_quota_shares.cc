// FleetQuota: exchange of shares.

#include <algorithm>
#include <bit>
#include <cmath>
#include <utility>

#include "tanagervane/quota/fleet_quota.h"
#include "tanagervane/quota/rendezvous.h"

namespace tanagervane {

namespace {

/// A question for statements goes to at most this many VMs of other groups in
/// each round.
constexpr size_t kMaxStatementRequests = 64;

/// The owned share is updated at least this often while it is used.
constexpr Millis kCensusInterval{100};

/// A pool VM with a smaller part of its group's shares may be cut off from the
/// others, or has just taken over the slot.
constexpr double kMinGroupShare = 0.5;

/// The delay between reads of the latest list doubles up to this one while
/// lists are read and the other VMs leave no share. It does not while the store
/// does not answer.
constexpr Millis kMaxListDelay{16'000};

constexpr SlotMask MaskOf(size_t slot) {
  return SlotMask{1} << slot;
}

}  // namespace

void FleetQuota::OnList(const CensusList& list, Millis now) {
  Advance(now);
  m_census.OnList(list, now);
  if (list.is_latest) {
    m_list_delay = std::min(m_list_delay * 2, kMaxListDelay);
    m_next_list = std::max(m_next_list, now + m_list_delay);
  }
  UpdateOwnedShare(now);
  if (enabled()) {
    UpdateClaim(now);
  }
}

void FleetQuota::SetLive(std::vector<std::string> others,
                         bool is_leaving,
                         Millis now) {
  if (others != m_live || is_leaving != m_is_leaving) {
    m_live = std::move(others);
    m_is_leaving = is_leaving;
    m_census.SetLive(m_live);
    if (m_is_leaving && m_census.Count(now) > 1) {
      // The others grant the permits from now on.
      m_census.Leave();
      UpdateOwnedShare(now);
    }
    ChoosePools(now);
  }
}

void FleetQuota::ChoosePools(Millis now) {
  m_group_count = m_census.Count(now);
  std::vector<std::string> members;
  for (const std::string& vm : m_live) {
    if (IsInGroup(vm)) {
      members.push_back(vm);
    }
  }
  if (!m_is_leaving || members.empty()) {
    members.push_back(m_self);
  }
  m_pool_vms = ChoosePoolVms(members);
}

bool FleetQuota::HoldsFewShares(std::string_view tenant, Millis now) const {
  return UsableShare(tenant, now) *
             static_cast<double>(GroupCount(m_group_count)) <
         kMinGroupShare;
}

bool FleetQuota::IsInGroup(std::string_view vm) const {
  return GroupOf(vm, m_group_count) == GroupOf(m_self, m_group_count);
}

void FleetQuota::Advance(Millis now) {
  for (size_t slot = 0; slot < kQuotaSlots; ++slot) {
    if (m_shares.IsDue(slot, now)) {
      Settle(slot, now);
      m_shares.TakeBack(slot);
    }
  }
  if (now - m_census_updated_at >= kCensusInterval) {
    UpdateOwnedShare(now);
  }
}

void FleetQuota::UpdateOwnedShare(Millis now) {
  m_census_updated_at = now;
  const double share = m_census.UpdateOwnedShare(now);
  if (share != m_shares.owned()) {
    SettleAll(now);
    m_shares.SetOwned(share);
    SettleAll(now);
    m_list_delay = kMinListDelay;
  }
  const size_t count = m_census.Count(now);
  if (count != m_group_count) {
    ChoosePools(now);
  }
}

void FleetQuota::Settle(size_t slot, Millis now) {
  m_pool.Settle(slot, m_shares.Usable(slot, now), now);
}

void FleetQuota::SettleAll(Millis now) {
  for (size_t slot = 0; slot < kQuotaSlots; ++slot) {
    if ((m_pool.slots() & MaskOf(slot)) != 0) {
      Settle(slot, now);
    }
  }
}

SlotMask FleetQuota::PooledSlots() const {
  SlotMask slots = 0;
  for (size_t slot = 0; slot < kQuotaSlots; ++slot) {
    slots |= m_pool_vms[slot] == m_self ? MaskOf(slot) : 0;
  }
  return slots & m_pool.slots();
}

bool FleetQuota::IsSettled(Millis now) const {
  if (m_shares.owned() <= 0) {
    return false;
  }
  const SlotMask slots = PooledSlots();
  if (slots == 0) {
    return true;
  }
  // The group lends all slots of a pool VM together, so one slot is enough.
  const auto slot = static_cast<size_t>(std::countr_zero(slots));
  return std::ranges::all_of(m_live, [&](const std::string& vm) {
    return !IsInGroup(vm) || m_shares.BorrowedFrom(slot, vm, now) > 0;
  });
}

void FleetQuota::SendRound(Millis now) {
  const SlotMask slots = PooledSlots();
  const bool needs_statements = m_census.NeedsStatements(now);
  if (slots == 0 && !needs_statements) {
    return;
  }
  m_rounds.push_back({++m_round_nonce, now});
  while (now - m_rounds.front().sent_at >= kLeaseTerm) {
    m_rounds.pop_front();
  }
  ShareRequest request{m_round_nonce, slots, m_census.MakeStatement()};
  std::vector<std::string_view> outside;
  for (const std::string& vm : m_live) {
    if (IsInGroup(vm)) {
      Send(vm, request);
    } else {
      outside.push_back(vm);
    }
  }
  if (!needs_statements) {
    return;
  }
  request.slots = 0;
  // After a start, gossip finds the listed VMs only after some rounds.
  for (const std::string_view vm : m_census.UnheardVms()) {
    if (std::ranges::find(m_live, vm) == m_live.end()) {
      outside.push_back(vm);
    }
  }
  const size_t count = std::min(outside.size(), kMaxStatementRequests);
  for (size_t i = 0; i < count; ++i) {
    Send(outside[m_next_outside++ % outside.size()], request);
  }
}

bool FleetQuota::Lend(size_t slot, const std::string& vm, Millis now) {
  if (m_pool_vms[slot] != vm || m_shares.owned() <= 0) {
    return false;
  }
  const bool was_lent = m_shares.IsLent(slot);
  Settle(slot, now);
  if (!m_shares.Lend(slot, vm, now)) {
    return false;
  }
  if (!was_lent) {
    Settle(slot, now);
  }
  return true;
}

void FleetQuota::Handle(const std::string& vm,
                        const ShareRequest& request,
                        Millis now) {
  m_census.OnStatement(vm, request.census, now);
  UpdateOwnedShare(now);
  ShareGrant grant;
  grant.nonce = request.nonce;
  for (size_t slot = 0; slot < kQuotaSlots; ++slot) {
    if ((request.slots & MaskOf(slot)) != 0 && Lend(slot, vm, now)) {
      grant.slots |= MaskOf(slot);
    }
  }
  if (grant.slots != 0) {
    grant.divisor = static_cast<uint64_t>(std::lround(1 / m_shares.owned()));
  }
  grant.census = m_census.MakeStatement();
  Send(vm, grant);
}

void FleetQuota::Handle(const std::string& vm,
                        const ShareGrant& grant,
                        Millis now) {
  const auto round = std::ranges::find(m_rounds, grant.nonce, &Round::nonce);
  if (round == m_rounds.end() || now - round->sent_at >= kLeaseTerm) {
    return;
  }
  m_census.OnStatement(vm, grant.census, now);
  UpdateOwnedShare(now);
  const Millis until = round->sent_at + kLeaseTerm;
  const double share =
      1 / static_cast<double>(std::max<uint64_t>(grant.divisor, 1));
  for (size_t slot = 0; slot < kQuotaSlots; ++slot) {
    if ((grant.slots & MaskOf(slot)) == 0) {
      continue;
    }
    const bool changes = m_shares.BorrowedFrom(slot, vm, now) != share;
    if (changes) {
      Settle(slot, now);
    }
    m_shares.Borrow(slot, vm, share, until);
    if (changes) {
      Settle(slot, now);
    }
  }
}

}  // namespace tanagervane
