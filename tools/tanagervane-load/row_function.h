// The expected rows of answers, computed as the stand-in backend server does.

#ifndef TANAGERVANE_TOOLS_LOAD_ROW_FUNCTION_H_
#define TANAGERVANE_TOOLS_LOAD_ROW_FUNCTION_H_

#include <cstdint>
#include <map>
#include <string>

#include "answer_check.h"

namespace tanagervane {

/// Returns a function for the rows of all classes. `limits` maps a class to the
/// maximum number of rows of a shard; other classes have no limit.
RowFunction MakeStandInRowFunction(std::map<std::string, uint32_t> limits);

}  // namespace tanagervane

#endif  // TANAGERVANE_TOOLS_LOAD_ROW_FUNCTION_H_
