// Identity of callers in Node.

#include "platform/caller_codec.h"
#include "tanagervane/support/boot_clock.h"
#include "tools/tanagervane-node/client_guard.h"
#include "tools/tanagervane-node/node.h"

namespace tanagervane {

namespace {

/// Retry-After of a request whose key this VM does not know while it may lack
/// the latest configuration. Other VMs may have it.
constexpr Millis kUnsureRetryAfter{250};

}  // namespace

ConfigCertainty Node::CertaintyOfConfig() const {
  if (m_settings.strict_revocation) {
    return m_proof.Certainty(BootNow());
  }
  return {.rejects_unknown_keys =
              m_peers.self().store_reachable && !m_newer_config_known,
          .retry_after = kUnsureRetryAfter};
}

std::optional<HttpResponseMessage> Node::AnswerFromHeader(
    const HttpRequestMessage& header) {
  if (!AnnouncesBody(header.fields)) {
    // The request is complete and is decided as a whole.
    return std::nullopt;
  }
  const auto request = DecodeCallerRequest(header);
  if (!request.ok()) {
    // Answered when the request has been read in full.
    return std::nullopt;
  }
  const auto answer = m_dispatcher.CheckHeader(
      *request, FindPresentedKey(header.fields), Poller::Now());
  if (!answer) {
    return std::nullopt;
  }
  return EncodeAnswer(*answer, request->id);
}

}  // namespace tanagervane
