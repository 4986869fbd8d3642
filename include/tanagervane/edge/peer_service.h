// Gossip between entry servers over gRPC, both directions.

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

/// The server and the client side of the Peer protocol. All hooks run on the
/// loop.
class PeerService {
 public:
  struct Hooks {
    /// Another entry's digest arrived; returns ours.
    std::function<proto::PeerDigest(const proto::PeerDigest&)> on_exchange;
    /// Another entry wants a document newer than the revision.
    std::function<proto::FetchDocumentReply(uint64_t)> on_fetch_document;
  };

  PeerService(EventLoop& loop, Hooks hooks);
  ~PeerService();
  PeerService(const PeerService&) = delete;
  PeerService& operator=(const PeerService&) = delete;

  /// Listens on `address` ("ip:port") and starts the completion thread.
  absl::Status Start(const std::string& address);

  /// The queue for all other gRPC clients of this process.
  GrpcRuntime& runtime() { return *m_runtime; }

  /// Sends a digest to the entry at `address`. `done` gets its digest, or
  /// nothing when none arrived in time.
  void Exchange(const std::string& address,
                const proto::PeerDigest& digest,
                Millis timeout,
                std::function<void(std::optional<proto::PeerDigest>)> done);

  /// Asks the entry at `address` for a document newer than `revision`.
  void FetchDocument(
      const std::string& address,
      uint64_t revision,
      Millis timeout,
      std::function<void(std::optional<proto::FetchDocumentReply>)> done);

 private:
  void AcceptExchange();
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
