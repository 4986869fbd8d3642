#include "tools/tanagervane-node/listener_options.h"

#include <algorithm>

namespace tanagervane {

namespace {

/// Descriptors that are not available for callers' and service connections.
constexpr size_t kReservedDescriptors = 300;

/// Callers' connections may use the usable descriptors divided by this.
constexpr size_t kCallerDescriptorDivisor = 2;

/// Each listener other than the callers' may use the usable descriptors divided
/// by this, up to kMaxServiceConnections.
constexpr size_t kServiceDescriptorDivisor = 12;
constexpr size_t kMaxServiceConnections = 500;

/// Returns the number of descriptors that are available for connections.
size_t UsableDescriptors(const NodeSettings& settings) {
  return std::max(settings.max_descriptors, 2 * kReservedDescriptors) -
         kReservedDescriptors;
}

}  // namespace

HttpListenerOptions ServiceOptions(const NodeSettings& settings,
                                   MemoryAccount& memory) {
  return {.limits = {.header_bytes = 8192, .body_bytes = 4096},
          .header_timeout = Millis(2000),
          .idle_timeout = Millis(20'000),
          .max_connections =
              std::min(UsableDescriptors(settings) / kServiceDescriptorDivisor,
                       kMaxServiceConnections),
          .memory = &memory};
}

HttpListenerOptions CallerOptions(const NodeSettings& settings,
                                  const CallerLimits& limits,
                                  MemoryAccount& memory) {
  HttpListenerOptions options;
  options.memory = &memory;
  options.limits = {limits.header_bytes, limits.body_bytes};
  options.header_timeout = limits.header_timeout;
  options.idle_timeout = limits.idle_timeout;
  options.max_connections =
      UsableDescriptors(settings) / kCallerDescriptorDivisor;
  return options;
}

}  // namespace tanagervane
