// Calls the row function of the stand-in backend server.

#include "row_function.h"

#include <utility>

#include "standins/common/rows.h"

namespace tanagervane {

RowFunction MakeStandInRowFunction(std::map<std::string, uint32_t> limits) {
  return [limits = std::move(limits)](const RowQuery& query) {
    const auto limit = limits.find(query.class_name);
    return standins::ExpectedRows(query.index, query.index_version, query.shard,
                                  query.payload,
                                  limit == limits.end() ? 0 : limit->second);
  };
}

}  // namespace tanagervane
