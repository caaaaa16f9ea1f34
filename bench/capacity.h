// The capacity page's slopes and its table.
#pragma once

#include "report.h"

#include <map>
#include <string>

namespace endivewharf::bench {

using Slopes = std::map<std::string, LineFit>;

/// Measures all slopes on this machine, each at three sizes or more.
Slopes measureSlopes();

/// Works out the page's table from slopes.
/// @param From slopes, measured now or read from docs/capacity.json
/// @return Markdown
std::string renderCapacity(const Slopes &From);

std::string slopesToJson(const Slopes &From);
Slopes slopesFromJson(const std::string &Text);

} // namespace endivewharf::bench
