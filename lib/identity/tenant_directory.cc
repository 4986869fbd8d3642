#include "tanagervane/identity/tenant_directory.h"

namespace tanagervane {

TenantDirectory::TenantDirectory(std::span<const TenantSpec> tenants) {
  size_t key_bytes = 0;
  size_t key_count = 0;
  for (const TenantSpec& tenant : tenants) {
    key_count += tenant.keys.size();
    for (const std::string& key : tenant.keys) {
      key_bytes += key.size();
    }
  }
  m_tenants.reserve(tenants.size());
  // Views into the string stay valid because it never grows beyond this.
  m_key_bytes.reserve(key_bytes);
  m_index_by_key.reserve(key_count);
  for (const TenantSpec& tenant : tenants) {
    const auto index = static_cast<uint32_t>(m_tenants.size());
    m_tenants.push_back({.name = tenant.name,
                         .keys = {},
                         .priority = tenant.priority,
                         .rate = tenant.rate,
                         .burst = tenant.burst});
    for (const std::string& key : tenant.keys) {
      if (key.empty() || m_index_by_key.contains(key)) {
        continue;
      }
      const size_t start = m_key_bytes.size();
      m_key_bytes += key;
      m_index_by_key.emplace(std::string_view(m_key_bytes).substr(start),
                             index);
    }
  }
}

const TenantSpec* TenantDirectory::Find(std::string_view key) const {
  const auto found = m_index_by_key.find(key);
  return found == m_index_by_key.end() ? nullptr : &m_tenants[found->second];
}

size_t TenantDirectory::memory_bytes() const {
  // Each slot of the map has one byte of metadata.
  constexpr size_t kSlotBytes =
      sizeof(decltype(m_index_by_key)::value_type) + 1;
  size_t bytes = m_key_bytes.capacity() +
                 m_index_by_key.capacity() * kSlotBytes +
                 m_tenants.capacity() * sizeof(TenantSpec);
  for (const TenantSpec& tenant : m_tenants) {
    bytes += tenant.name.capacity();
  }
  return bytes;
}

}  // namespace tanagervane
