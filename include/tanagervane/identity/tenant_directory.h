// Lookup of tenants by the keys that callers present.

#ifndef TANAGERVANE_IDENTITY_TENANT_DIRECTORY_H_
#define TANAGERVANE_IDENTITY_TENANT_DIRECTORY_H_

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "tanagervane/identity/tenant.h"

namespace tanagervane {

/// The tenants and keys of one version of the configuration. Find() takes
/// constant time whatever the number of keys.
class TenantDirectory {
 public:
  /// Without tenants, callers need no keys.
  TenantDirectory() = default;

  /// An empty key is ignored. A key that several tenants list belongs to the
  /// first of them.
  explicit TenantDirectory(std::span<const TenantSpec> tenants);

  // The map holds views into `m_key_bytes`, which a copy would not share.
  TenantDirectory(const TenantDirectory&) = delete;
  TenantDirectory& operator=(const TenantDirectory&) = delete;

  /// Returns the tenant to which the key belongs, or nullptr. `keys` of the
  /// result is empty. The pointer is valid as long as the directory.
  const TenantSpec* Find(std::string_view key) const;

  /// Whether callers need no keys.
  bool empty() const { return m_tenants.empty(); }

  /// All tenants in order of the configuration, without their keys.
  std::span<const TenantSpec> tenants() const { return m_tenants; }

  size_t key_count() const { return m_index_by_key.size(); }

  /// Estimate of the heap memory that the directory holds.
  size_t memory_bytes() const;

 private:
  std::vector<TenantSpec> m_tenants;
  /// The keys one after another, which takes less memory than a string each.
  std::string m_key_bytes;
  absl::flat_hash_map<std::string_view, uint32_t> m_index_by_key;
};

}  // namespace tanagervane

#endif  // TANAGERVANE_IDENTITY_TENANT_DIRECTORY_H_
