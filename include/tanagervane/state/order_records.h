// Records of orders, as the objects of the platform hold them.

#ifndef TANAGERVANE_STATE_ORDER_RECORDS_H_
#define TANAGERVANE_STATE_ORDER_RECORDS_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <tuple>

#include "tanagervane/support/wall_millis.h"

namespace tanagervane {

/// Identifies an order. Equal keys with different issue times are different
/// orders.
struct OrderKey {
  std::string key;
  WallMillis issued_at;

  bool operator==(const OrderKey&) const = default;
  bool operator<(const OrderKey& other) const {
    return std::tie(key, issued_at) < std::tie(other.key, other.issued_at);
  }
};

enum class OrderRecordState { kClaimed, kDone, kReleased };

/// The claim of an order, and the order's result once it is done.
struct OrderRecord {
  uint64_t digest = 0;
  std::string holder;
  std::string nonce;
  OrderRecordState state = OrderRecordState::kClaimed;
  std::string result;

  bool operator==(const OrderRecord&) const = default;
};

/// The content of an object, by OrderRecordName().
using OrderRecords = std::map<std::string, OrderRecord>;

/// Returns the text of the order key and its issue time.
std::string OrderRecordName(const OrderKey& key);

/// Returns the bytes that a record takes in an object. Includes room for the
/// result of a claimed order.
size_t OrderRecordBytes(const std::string& key, const OrderRecord& record);

std::string FormatOrderRecords(const OrderRecords& records);

/// Adds the records of a formatted object. Returns false if it is malformed.
bool ParseOrderRecords(const std::string& value, OrderRecords& records);

/// Completes the records of a stale read: adds the records and the results of
/// `known` that it lacks.
void MergeKnownRecords(const OrderRecords& known, OrderRecords& records);

}  // namespace tanagervane

#endif  // TANAGERVANE_STATE_ORDER_RECORDS_H_
