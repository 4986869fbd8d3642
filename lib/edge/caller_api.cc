// CallerApi.

#include "tanagervane/edge/caller_api.h"

#include <utility>

#include "tanagervane/edge/caller_codec.h"
#include "tanagervane/support/error.h"
#include "tanagervane/support/json_object.h"

namespace tanagervane {

void CallerApi::Handle(const HttpRequest& request,
                       const HttpResponder& respond) {
  // Callers of a leaving entry look for another one with their next request.
  const HttpResponder answer = [this, respond](HttpResponse response) {
    if (m_core.state() == PeerState::kLeaving) {
      response.headers["Connection"] = "close";
    }
    respond(std::move(response));
  };
  const bool is_post = request.method == "POST";
  if (is_post && request.path == "/v1/query") {
    HandleWork(request, /*is_order=*/false, answer);
  } else if (is_post && request.path == "/v1/order") {
    HandleWork(request, /*is_order=*/true, answer);
  } else if (is_post && request.path == "/v1/cancel") {
    answer(HandleCancel(request));
  } else if (request.method == "GET" && request.path == "/v1/addresses") {
    answer(HandleAddresses(request));
  } else {
    answer(FormatError(MakeError(ErrorCode::kNotFound,
                                 "no such method and path", request.path),
                       Outcome::kNotRun));
  }
}

void CallerApi::HandleWork(const HttpRequest& request,
                           bool is_order,
                           const HttpResponder& respond) {
  const auto parsed = ParseCallerRequest(request.body, is_order);
  if (!parsed.ok()) {
    respond(FormatError(parsed.status(), Outcome::kNotRun));
    return;
  }
  if (is_order) {
    // An order goes on without its caller, who may ask for the result later.
    m_core.Order(*parsed, respond);
    return;
  }
  const RequestId id = m_core.Query(*parsed, respond);
  *request.on_disconnect = [this, id] { m_core.Cancel(id); };
}

HttpResponse CallerApi::HandleCancel(const HttpRequest& request) {
  const auto id = ParseCancelRequest(request.body);
  if (!id.ok()) {
    return FormatError(id.status(), Outcome::kNotRun);
  }
  m_core.Cancel(*id);
  HttpResponse response;
  response.body = "{}";
  return response;
}

HttpResponse CallerApi::HandleAddresses(const HttpRequest& request) {
  const EntryAddresses found =
      m_core.Addresses(request.QueryOr("data_centre", ""));
  if (found.addresses.empty()) {
    return FormatError(
        MakeError(ErrorCode::kNotReady, "no entry serves at present"),
        Outcome::kNotRun);
  }
  auto addresses = nlohmann::json::array();
  for (const EntryAddress& address : found.addresses) {
    addresses.push_back({{"id", address.id},
                         {"address", address.caller_address},
                         {"data_centre", address.data_centre}});
  }
  HttpResponse response;
  response.body = DumpJson({{"addresses", std::move(addresses)},
                            {"lifetime_ms", found.lifetime.count()}});
  return response;
}

}  // namespace tanagervane
