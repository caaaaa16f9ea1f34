// Homes of requests: the regions outside of which no upstream and no other
// process may get them, as their route and their client account state.
#pragma once

#include <functional>
#include <map>
#include <set>
#include <string>
#include <string_view>

namespace endivewharf {

/// Names of regions; none: any region will do.
using RegionSet = std::set<std::string, std::less<>>;

/// Homes of one request. Where both its route and its account have some, both
/// bind.
struct Homes {
  RegionSet OfRoute_;
  RegionSet OfAccount_;
};

/// Region of each data centre, by name.
using RegionMap = std::map<std::string, std::string, std::less<>>;

/// @return true if the request must not leave some regions
bool hasHomes(const Homes &Of);

/// @param Regions regions of the data centres
/// @param DataCentre data centre of an upstream or process
/// @return true if the request may be sent there. A data centre of an unknown
///         region is no home of any request that has homes.
bool mayBeSentTo(const Homes &Of, const RegionMap &Regions,
                 std::string_view DataCentre);

} // namespace endivewharf
