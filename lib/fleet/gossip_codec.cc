// Gossip as JSON.

#include "tanagervane/fleet/gossip_codec.h"

#include <charconv>
#include <utility>

#include "nlohmann/json.hpp"
#include "tanagervane/support/error.h"
#include "tanagervane/support/json_object.h"

namespace tanagervane {

namespace {

constexpr int kGreatestState = static_cast<int>(PeerState::kLeaving);

nlohmann::json ToJson(const PeerRecord& peer) {
  return {{"id", peer.id},
          {"incarnation", peer.incarnation},
          {"heartbeat", peer.heartbeat},
          {"state", static_cast<int>(peer.state)},
          {"callers", peer.caller_address},
          {"gossip", peer.peer_address},
          {"data_centre", peer.data_centre},
          {"revision", peer.document_revision}};
}

nlohmann::json ToJson(const QuarantineRecord& record) {
  // A fingerprint may exceed the range of signed integers of other parsers.
  return {{"fingerprint", std::to_string(record.fingerprint)},
          {"lost", record.lost_replicas},
          {"age_ms", record.age.count()}};
}

PeerRecord ReadPeer(JsonObject& json) {
  PeerRecord peer;
  peer.id = json.Text("id");
  peer.incarnation = static_cast<uint64_t>(json.Integer("incarnation", 0));
  peer.heartbeat = static_cast<uint64_t>(json.Integer("heartbeat", 0));
  peer.state = static_cast<PeerState>(json.Integer("state", 0, kGreatestState));
  peer.caller_address = json.Text("callers");
  peer.peer_address = json.Text("gossip");
  peer.data_centre = json.TextOr("data_centre", "");
  peer.document_revision = static_cast<uint64_t>(json.Integer("revision", 0));
  return peer;
}

absl::Status Malformed(std::string_view path) {
  return MakeError(ErrorCode::kInvalidRequest, "malformed gossip", path);
}

/// Zero, which is below all revisions, when the member is missing.
uint64_t ReadRevision(const nlohmann::json& json, const char* key) {
  const auto member = json.find(key);
  return member != json.end() && member->is_number_unsigned()
             ? member->get<uint64_t>()
             : 0;
}

absl::StatusOr<QuarantineRecord> ReadQuarantine(const nlohmann::json& json) {
  QuarantineRecord record;
  const auto fingerprint = json.find("fingerprint");
  const auto lost = json.find("lost");
  const auto age = json.find("age_ms");
  if (fingerprint == json.end() || !fingerprint->is_string() ||
      lost == json.end() || !lost->is_array() || age == json.end() ||
      !age->is_number()) {
    return Malformed("quarantine");
  }
  const auto& digits = fingerprint->get_ref<const std::string&>();
  const auto [end, error] = std::from_chars(
      digits.data(), digits.data() + digits.size(), record.fingerprint);
  if (error != std::errc() || end != digits.data() + digits.size()) {
    return Malformed("quarantine.fingerprint");
  }
  for (const nlohmann::json& replica : *lost) {
    if (!replica.is_string()) {
      return Malformed("quarantine.lost");
    }
    record.lost_replicas.push_back(replica.get<std::string>());
  }
  record.age = Millis(age->get<double>());
  return record;
}

}  // namespace

std::string EncodeGossip(const GossipMessage& message) {
  nlohmann::json json = {{"sender", message.sender},
                         {"config_change", message.config_change},
                         {"replica_change", message.replica_change}};
  for (const PeerRecord& peer : message.peers) {
    json["peers"].push_back(ToJson(peer));
  }
  for (const QuarantineRecord& record : message.quarantine) {
    json["quarantine"].push_back(ToJson(record));
  }
  return DumpJson(json);
}

absl::StatusOr<GossipMessage> DecodeGossip(std::string_view text) {
  const auto json = nlohmann::json::parse(text, nullptr, false);
  if (!json.is_object()) {
    return Malformed("");
  }
  GossipMessage message;
  const auto sender = json.find("sender");
  if (sender == json.end() || !sender->is_string()) {
    return Malformed("sender");
  }
  message.sender = sender->get<std::string>();
  message.config_change = ReadRevision(json, "config_change");
  message.replica_change = ReadRevision(json, "replica_change");
  if (const auto peers = json.find("peers"); peers != json.end()) {
    for (const nlohmann::json& item : *peers) {
      JsonObject object(item, "peers");
      message.peers.push_back(ReadPeer(object));
      if (const absl::Status status = object.Finish(); !status.ok()) {
        return status;
      }
    }
  }
  if (const auto records = json.find("quarantine"); records != json.end()) {
    for (const nlohmann::json& item : *records) {
      auto record = ReadQuarantine(item);
      if (!record.ok()) {
        return record.status();
      }
      message.quarantine.push_back(*std::move(record));
    }
  }
  return message;
}

}  // namespace tanagervane
