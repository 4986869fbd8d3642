// Measures the cost of gossip and peer tables by number of peers, and the
// fraction of false suspicions by size of the digest.

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "fmt/core.h"
#include "measure.h"
#include "peer.pb.h"
#include "tanagervane/document/parser.h"
#include "tanagervane/state/document_tracker.h"
#include "tanagervane/state/peer_table.h"

namespace tanagervane {

namespace {

/// Records of a digest; the same bound as in lib/edge/gossip.cc.
constexpr size_t kMaxDigestRecords = 64;

PeerRecord MakeRecord(size_t number, uint64_t heartbeat) {
  return {.id = fmt::format("entry-{:04}", number),
          .incarnation = 1764800000000 + number,
          .heartbeat = heartbeat,
          .state = PeerState::kServing,
          .caller_address =
              fmt::format("10.2.{}.{}:8080", number / 250, number % 250),
          .peer_address =
              fmt::format("10.2.{}.{}:8082", number / 250, number % 250),
          .data_centre = "ragusa-a",
          .document_revision = 41};
}

std::unique_ptr<PeerTable> MakeTable(size_t peers, Millis now) {
  auto table = std::make_unique<PeerTable>(MakeRecord(0, 0), kBenchmarkSeed);
  table->AdvanceHeartbeat(now);
  for (size_t i = 1; i < peers; ++i) {
    const std::vector<PeerRecord> record = {MakeRecord(i, 1000)};
    table->Merge(record[0].id, record, now);
  }
  return table;
}

proto::PeerDigest MakeDigest(PeerTable& table, Millis now) {
  proto::PeerDigest digest;
  digest.set_sender_id(table.self().id);
  digest.set_sender_incarnation(table.self().incarnation);
  digest.set_document_revision(table.self().document_revision);
  for (const PeerRecord& record : table.RecordsToSend(now, kMaxDigestRecords)) {
    proto::PeerRecord* proto_record = digest.add_peers();
    proto_record->set_id(record.id);
    proto_record->set_incarnation(record.incarnation);
    proto_record->set_heartbeat(record.heartbeat);
    proto_record->set_state(proto::PEER_STATE_SERVING);
    proto_record->set_caller_address(record.caller_address);
    proto_record->set_peer_address(record.peer_address);
    proto_record->set_data_centre(record.data_centre);
    proto_record->set_document_revision(record.document_revision);
  }
  return digest;
}

/// Parses and merges a received digest as an entry does, without updating the
/// document tracker.
void MergeDigest(PeerTable& table, const std::string& bytes, Millis now) {
  proto::PeerDigest digest;
  digest.ParseFromString(bytes);
  std::vector<PeerRecord> records;
  for (const proto::PeerRecord& record : digest.peers()) {
    records.push_back({.id = record.id(),
                       .incarnation = record.incarnation(),
                       .heartbeat = record.heartbeat(),
                       .state = PeerState::kServing,
                       .caller_address = record.caller_address(),
                       .peer_address = record.peer_address(),
                       .data_centre = record.data_centre(),
                       .document_revision = record.document_revision()});
  }
  table.Merge(digest.sender_id(), records, now);
}

/// Stores callbacks until Run(), because the core expects them only after its
/// call has returned.
struct CallbackQueue {
  std::deque<std::function<void()>> callbacks;
  void Run() {
    while (!callbacks.empty()) {
      const auto callback = std::move(callbacks.front());
      callbacks.pop_front();
      callback();
    }
  }
};

constexpr char kDocument[] = R"({"team": "team", "indexes": [
    {"name": "parts", "shards": 3, "replicas": 3, "slots": 5,
     "connections": 40}], "classes": [], "tenants": []})";

std::unique_ptr<DocumentTracker> MakeTracker(CallbackQueue& queue,
                                             const Millis& now) {
  PlatformApi platform;
  platform.get = [&queue](const std::string&, const std::string&,
                          const PlatformApi::ObjectDone& done) {
    queue.callbacks.emplace_back([done] {
      done(PlatformResult::kOk,
           {1, FormatStoredDocument({41, kDocument, "op", {}, "w"})});
    });
  };
  platform.watch = [](const std::string&, const std::string&, uint64_t, Millis,
                      const PlatformApi::ObjectDone&) {};
  return std::make_unique<DocumentTracker>(
      DocumentTracker::Options{"team", "entry-0000", kBenchmarkSeed}, platform,
      [](std::string_view) { return Document{}; }, [&now] { return now; },
      DocumentTracker::Hooks{
          .on_accepted = nullptr,
          .fetch_from_peer = [&queue](const std::string&, uint64_t,
                                      const DocumentTracker::PeerDone& done) {
            queue.callbacks.emplace_back([done] { done(true, std::nullopt); });
          }});
}

/// Passes the peers to the document tracker as EntryCore::OnPeersChanged() does
/// after each change of the table.
void ApplyPeers(const PeerTable& table, DocumentTracker& tracker, Millis now) {
  std::vector<DocumentTracker::Peer> peers;
  for (const PeerTable::Peer& peer : table.Peers(now)) {
    if (peer.liveness != Liveness::kDead) {
      peers.push_back({.id = peer.record.id,
                       .serving = peer.liveness == Liveness::kAlive,
                       .revision = peer.record.document_revision});
    }
  }
  tracker.SetPeers(peers, true);
}

void MeasureTracker(const PeerTable& table, size_t peers, Millis now) {
  CallbackQueue queue;
  const auto tracker = MakeTracker(queue, now);
  tracker->OnTick(now);
  queue.Run();
  ApplyPeers(table, *tracker, now);
  queue.Run();
  if (!tracker->ready()) {
    fmt::print(stderr, "warning: the document tracker is not ready\n");
  }
  const double x = static_cast<double>(peers);
  MeasureCpu("gossip_peers_changed_us", x,
             [&] { ApplyPeers(table, *tracker, now); });
  double sink = 0;
  MeasureCpu("tracker_timer_us", x,
             [&] { sink += tracker->NextTimer().count(); });
}

void MeasureTable(size_t peers) {
  const Millis now(1000);
  const double x = static_cast<double>(peers);
  const double before = HeapBytes();
  const auto table = MakeTable(peers, now);
  PrintRow("peer_table_bytes", x, HeapBytes() - before);
  std::string bytes = MakeDigest(*table, now).SerializeAsString();
  PrintRow("gossip_digest_bytes", x, static_cast<double>(bytes.size()));
  MeasureCpu("gossip_make_digest_us", x,
             [&] { bytes = MakeDigest(*table, now).SerializeAsString(); });
  MeasureCpu("gossip_take_digest_us", x,
             [&] { MergeDigest(*table, bytes, now); });
  MeasureCpu("gossip_choose_targets_us", x, [&] { table->ChooseTargets(now); });
  MeasureTracker(*table, peers, now);
}

/// Simulates `count` entries without message loss or pauses, with digests of at
/// most `limit` records. Prints the fractions of peers that are wrongly
/// suspected or considered dead.
void MeasureFalseSuspicions(size_t count, size_t limit) {
  std::vector<std::unique_ptr<PeerTable>> tables;
  Millis now(1000);
  for (size_t i = 0; i < count; ++i) {
    tables.push_back(
        std::make_unique<PeerTable>(MakeRecord(i, 0), kBenchmarkSeed + i));
    for (size_t j = 0; j < count; ++j) {
      const std::vector<PeerRecord> record = {MakeRecord(j, 1)};
      tables[i]->Merge(record[0].id, record, now);
    }
  }
  std::map<std::string, size_t> index_by_address;
  for (size_t i = 0; i < count; ++i) {
    index_by_address[MakeRecord(i, 0).peer_address] = i;
  }
  size_t suspected = 0;
  size_t dead = 0;
  size_t observed = 0;
  constexpr int kRounds = 60;
  for (int round = 0; round < kRounds; ++round) {
    now += kGossipInterval;
    for (size_t i = 0; i < count; ++i) {
      PeerTable& table = *tables[i];
      table.AdvanceHeartbeat(now);
      const auto records = table.RecordsToSend(now, limit);
      for (const std::string& address : table.ChooseTargets(now)) {
        PeerTable& target = *tables[index_by_address[address]];
        target.Merge(table.self().id, records, now);
        table.Merge(target.self().id, target.RecordsToSend(now, limit), now);
      }
    }
    for (size_t i = 0; round >= kRounds / 2 && i < count; ++i) {
      for (const PeerTable::Peer& peer : tables[i]->Peers(now)) {
        ++observed;
        suspected += peer.liveness == Liveness::kSuspected ? 1 : 0;
        dead += peer.liveness == Liveness::kDead ? 1 : 0;
      }
    }
  }
  const double x = static_cast<double>(count) / static_cast<double>(limit);
  const double all = static_cast<double>(observed);
  PrintRow("gossip_false_suspected_share", x,
           static_cast<double>(suspected) / all);
  PrintRow("gossip_false_dead_share", x, static_cast<double>(dead) / all);
}

}  // namespace

void MeasureGossip() {
  for (const size_t peers : {4U, 50U, 500U, 1500U, 3400U}) {
    MeasureTable(peers);
  }
  for (const size_t limit : {200U, 64U, 20U, 10U, 4U}) {
    MeasureFalseSuspicions(200, limit);
  }
}

}  // namespace tanagervane
