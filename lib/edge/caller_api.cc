// Dispatch of callers' HTTP requests by method and path.

#include "tanagervane/edge/caller_api.h"

#include <utility>

#include "tanagervane/edge/caller_codec.h"
#include "tanagervane/support/error.h"
#include "tanagervane/support/json_object.h"

namespace tanagervane {

void CallerApi::Handle(const HttpRequest& request,
                       const HttpResponder& respond) {
  // While this entry leaves, closing the connection makes callers send their
  // next request to another entry.
  const HttpResponder send_response = [this, respond](HttpResponse response) {
    if (m_core.state() == PeerState::kLeaving) {
      response.headers["Connection"] = "close";
    }
    respond(std::move(response));
  };
  const bool is_post = request.method == "POST";
  if (is_post && request.path == "/v1/query") {
    HandleQueryOrOrder(request, /*is_order=*/false, send_response);
  } else if (is_post && request.path == "/v1/order") {
    HandleQueryOrOrder(request, /*is_order=*/true, send_response);
  } else if (is_post && request.path == "/v1/cancel") {
    send_response(HandleCancel(request));
  } else if (request.method == "GET" && request.path == "/v1/addresses") {
    send_response(HandleAddresses(request));
  } else {
    send_response(
        FormatError(MakeError(ErrorCode::kNotFound, "no such method and path",
                              request.path),
                    Outcome::kNotRun));
  }
}

void CallerApi::HandleQueryOrOrder(const HttpRequest& request,
                                   bool is_order,
                                   const HttpResponder& respond) {
  const auto parsed = ParseCallerRequest(request.body, is_order);
  if (!parsed.ok()) {
    respond(FormatError(parsed.status(), Outcome::kNotRun));
    return;
  }
  if (is_order) {
    // An order continues when its caller disconnects; the caller may ask for
    // the result later.
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
      m_core.Addresses(request.QueryParameterOr("data_centre", ""));
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
