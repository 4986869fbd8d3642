// Binary encoding of reports about revisions in gossip.

#ifndef TANAGERVANE_LIB_FLEET_REPORT_BYTES_H_
#define TANAGERVANE_LIB_FLEET_REPORT_BYTES_H_

#include <cmath>
#include <cstdint>
#include <string>

#include "gossip_bytes.h"
#include "tanagervane/state/revision_times.h"

namespace tanagervane {

inline void AppendReport(std::string& bytes, const RevisionReport& report) {
  AppendVarint(bytes, report.revision);
  // Rounded down: a change must not seem older than it is, or a replica would
  // be retired before its registration could return.
  AppendVarint(bytes, static_cast<uint64_t>(std::floor(report.age.count())));
}

inline RevisionReport ReadReport(GossipReader& reader) {
  RevisionReport report;
  report.revision = reader.ReadVarint();
  report.age = Millis(static_cast<double>(reader.ReadVarint()));
  return report;
}

}  // namespace tanagervane

#endif  // TANAGERVANE_LIB_FLEET_REPORT_BYTES_H_
