// HTTP interface for callers: queries, orders, cancellation and the addresses
// of entries.

#ifndef TANAGERVANE_EDGE_CALLER_API_H_
#define TANAGERVANE_EDGE_CALLER_API_H_

#include "tanagervane/edge/entry_core.h"
#include "tanagervane/edge/http.h"

namespace tanagervane {

/// Parses callers' HTTP requests and passes them to EntryCore.
class CallerApi {
 public:
  explicit CallerApi(EntryCore& core) : m_core(core) {}

  void Handle(const HttpRequest& request, const HttpResponder& respond);

 private:
  void HandleQueryOrOrder(const HttpRequest& request,
                          bool is_order,
                          const HttpResponder& respond);
  HttpResponse HandleCancel(const HttpRequest& request);
  HttpResponse HandleAddresses(const HttpRequest& request);

  EntryCore& m_core;
};

}  // namespace tanagervane

#endif  // TANAGERVANE_EDGE_CALLER_API_H_
