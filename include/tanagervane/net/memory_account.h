// The memory that callers and replicas make the process hold.

#ifndef TANAGERVANE_NET_MEMORY_ACCOUNT_H_
#define TANAGERVANE_NET_MEMORY_ACCOUNT_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <unordered_set>

namespace tanagervane {

/// What a connection holds memory for.
enum class MemoryUse : uint8_t {
  kInput,     ///< An incomplete request, or input after a request.
  kOutput,    ///< A response that the caller has not taken yet.
  kRunning,   ///< A request that has been passed on.
  kReplicas,  ///< A request to a replica and its response.
};

class MemoryCharge;

/// Bounds the memory of all connections of a process together. Holders of
/// input and output give up their memory when the limit is exceeded. Holders of
/// running requests keep it; instead, no further request is admitted.
class MemoryAccount {
 public:
  /// `limit` is in bytes.
  explicit MemoryAccount(size_t limit);
  MemoryAccount(const MemoryAccount&) = delete;
  MemoryAccount& operator=(const MemoryAccount&) = delete;

  size_t limit() const { return m_limit; }
  void SetLimit(size_t limit) { m_limit = limit; }

  /// Bytes that are held now.
  size_t held() const;
  size_t held(MemoryUse use) const { return m_held[static_cast<size_t>(use)]; }

  /// Returns whether a further request may run. Its own bytes don't count, so
  /// that one request of any legal size is admitted when nothing else runs.
  bool AdmitsRequest() const;

  /// While the limit is exceeded, lets the holder of input or unread output
  /// that holds most give it up, at the peer address that holds most.
  void Reclaim();

  /// Returns whether a replica's response may be kept and grow further. The
  /// response that holds most is never allowed when all of them together exceed
  /// their part of the limit.
  bool AllowsResponse(const MemoryCharge& charge) const;

  /// Number of times that a holder gave up its memory.
  uint64_t reclaimed() const { return m_reclaimed; }

 private:
  friend class MemoryCharge;
  static constexpr size_t kUses = 4;

  /// Returns the holder that gives up its memory next, or nullptr.
  MemoryCharge* FindVictim(
      bool include_progressing,
      const std::unordered_set<const MemoryCharge*>& passed_over) const;

  size_t m_limit;
  std::array<size_t, kUses> m_held{};
  std::unordered_set<MemoryCharge*> m_charges;
  size_t m_replica_charges = 0;
  uint64_t m_reclaimed = 0;
  bool m_reclaiming = false;
};

struct MemoryChargeHooks {
  /// Returns whether the holder's peer took or sent bytes a short time ago.
  /// Such a holder of output gives up its memory last.
  std::function<bool()> is_progressing;
  /// Gives up the memory as far as possible. Set() must have been called with
  /// what is left, or the charge destroyed, when it returns.
  std::function<void()> reclaim;
};

/// What one connection holds.
class MemoryCharge {
 public:
  /// `account` may be nullptr, and must outlive the charge otherwise. `peer`
  /// identifies the peer address.
  MemoryCharge(MemoryAccount* account, uint32_t peer, MemoryChargeHooks hooks);
  ~MemoryCharge();
  MemoryCharge(const MemoryCharge&) = delete;
  MemoryCharge& operator=(const MemoryCharge&) = delete;

  void Set(MemoryUse use, size_t bytes);

  MemoryUse use() const { return m_use; }
  size_t bytes() const { return m_bytes; }
  uint32_t peer() const { return m_peer; }

 private:
  friend class MemoryAccount;

  MemoryAccount* m_account;
  uint32_t m_peer;
  MemoryChargeHooks m_hooks;
  MemoryUse m_use = MemoryUse::kInput;
  size_t m_bytes = 0;
};

}  // namespace tanagervane

#endif  // TANAGERVANE_NET_MEMORY_ACCOUNT_H_
