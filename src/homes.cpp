// Compares regions by name only: what a data centre's region is, the settings
// say.
#include "homes.h"

namespace endivewharf {

bool hasHomes(const Homes &Of) {
  return !Of.OfRoute_.empty() || !Of.OfAccount_.empty();
}

bool mayBeSentTo(const Homes &Of, const RegionMap &Regions,
                 std::string_view DataCentre) {
  if (!hasHomes(Of))
    return true;
  const auto Found = Regions.find(DataCentre);
  if (Found == Regions.end())
    return false;
  const auto Allows = [&](const RegionSet &Set) {
    return Set.empty() || Set.count(Found->second) > 0;
  };
  return Allows(Of.OfRoute_) && Allows(Of.OfAccount_);
}

} // namespace endivewharf
