// Measures what state, messages and decisions cost per item, and computes the
// table of the capacity page from these slopes.
#pragma once

#include "report.h"

#include <map>
#include <string>

namespace endivewharf::bench {

/// Linear cost by name of the measurement; the unit is bytes or microseconds.
using Slopes = std::map<std::string, LineFit>;

/// Measures all slopes on this machine, each at three sizes or more.
/// `claim_bytes` is a constant and is held in the intercept.
Slopes measureSlopes();

/// Computes the table of the capacity page at the deployment size that the
/// users state. A test compares the table with docs/CAPACITY.md.
/// @param From slopes, measured now or read from docs/capacity.json
/// @return table in Markdown
std::string renderCapacity(const Slopes &From);

/// @return contents of docs/capacity.json
std::string slopesToJson(const Slopes &From);

/// Reads what slopesToJson() wrote; throws an nlohmann::json exception on other
/// text.
Slopes slopesFromJson(const std::string &Text);

} // namespace endivewharf::bench
