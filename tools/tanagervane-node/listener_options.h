// Options of the listeners of Node.

#ifndef TANAGERVANE_TOOLS_TANAGERVANE_NODE_LISTENER_OPTIONS_H_
#define TANAGERVANE_TOOLS_TANAGERVANE_NODE_LISTENER_OPTIONS_H_

#include "tanagervane/net/http_listener.h"
#include "tanagervane/net/memory_account.h"
#include "tanagervane/serving/config.h"
#include "tools/tanagervane-node/settings.h"

namespace tanagervane {

/// Options for listeners that receive small requests of the platform and of
/// metrics scrapers.
HttpListenerOptions ServiceOptions(const NodeSettings& settings,
                                   MemoryAccount& memory);

HttpListenerOptions CallerOptions(const NodeSettings& settings,
                                  const CallerLimits& limits,
                                  MemoryAccount& memory);

}  // namespace tanagervane

#endif  // TANAGERVANE_TOOLS_TANAGERVANE_NODE_LISTENER_OPTIONS_H_
