// gRPC transport for gossip between entry servers.

#ifndef TANAGERVANE_EDGE_PEER_SERVICE_H_
#define TANAGERVANE_EDGE_PEER_SERVICE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "absl/status/statusor.h"
#include "peer.grpc.pb.h"
#include "tanagervane/edge/grpc_runtime.h"
#include "tanagervane/net/event_loop.h"
#include "tanagervane/support/millis.h"

namespace tanagervane {

/// Server and client of the Peer gRPC service. All hooks run on the event
/// loop.
class PeerService {
 public:
  struct Hooks {
    /// Runs when a peer's digest arrived; returns this entry's digest.
    std::function<proto::PeerDigest(const proto::PeerDigest&)> on_exchange;
    /// Runs when a peer requests a document newer than the given revision;
    /// returns the reply.
    std::function<proto::FetchDocumentReply(uint64_t)> on_fetch_document;
  };

  PeerService(EventLoop& loop, Hooks hooks);
  ~PeerService();
  PeerService(const PeerService&) = delete;
  PeerService& operator=(const PeerService&) = delete;

  /// Listens on `address` ("ip:port") and starts the completion thread.
  absl::Status Start(const std::string& address);

  /// The runtime that the other gRPC clients of this process use too. Valid
  /// after Start().
  GrpcRuntime& runtime() { return *m_runtime; }

  /// Sends a digest to the entry at `address`. `done` runs with that entry's
  /// digest, or with nothing when the call failed or timed out.
  void Exchange(const std::string& address,
                const proto::PeerDigest& digest,
                Millis timeout,
                std::function<void(std::optional<proto::PeerDigest>)> done);

  /// Requests a document newer than `revision` from the entry at `address`.
  /// `done` runs with the reply, or with nothing when the call failed or timed
  /// out.
  void FetchDocument(
      const std::string& address,
      uint64_t revision,
      Millis timeout,
      std::function<void(std::optional<proto::FetchDocumentReply>)> done);

 private:
  /// Waits for the next incoming Exchange call and answers it.
  void AcceptExchange();
  /// Waits for the next incoming FetchDocument call and answers it.
  void AcceptFetchDocument();
  proto::Peer::Stub& StubFor(const std::string& address);

  EventLoop& m_loop;
  Hooks m_hooks;
  proto::Peer::AsyncService m_service;
  std::unique_ptr<GrpcRuntime> m_runtime;
  std::unique_ptr<grpc::Server> m_server;
  std::map<std::string, std::unique_ptr<proto::Peer::Stub>> m_stubs;
  bool m_stopping = false;
};

}  // namespace tanagervane

#endif  // TANAGERVANE_EDGE_PEER_SERVICE_H_
