// Merges statements on data centres by their position in the operator log.
#include "evacuation.h"

#include <algorithm>

namespace endivewharf {

namespace {

/// Most data centres that statements are kept of: a bound on the messages.
constexpr std::size_t MaxDataCentres = 64;

/// Makes room by forgetting the oldest evacuation that was taken back.
/// @return false if all that are kept are in force
bool forgetOldest(EvacuationState &State) {
  auto &Known = State.DataCentres_;
  auto Oldest = Known.end();
  for (auto I = Known.begin(); I != Known.end(); ++I)
    if (!I->second.Active_ &&
        (Oldest == Known.end() || I->second.Offset_ < Oldest->second.Offset_))
      Oldest = I;
  if (Oldest == Known.end())
    return false;
  Known.erase(Oldest);
  return true;
}

} // namespace

bool isEvacuated(const EvacuationState &State, std::string_view DataCentre) {
  const auto Found = State.DataCentres_.find(DataCentre);
  return Found != State.DataCentres_.end() && Found->second.Active_;
}

bool applyEvacuation(EvacuationState &State, const EvacuationRow &Row) {
  const bool Before = isEvacuated(State, Row.DataCentre_);
  const auto Found = State.DataCentres_.find(Row.DataCentre_);
  if (Found == State.DataCentres_.end()) {
    if (State.DataCentres_.size() >= MaxDataCentres && !forgetOldest(State))
      return false;
    State.DataCentres_[Row.DataCentre_] = {Row.Offset_, Row.Active_};
    return Row.Active_ != Before;
  }
  if (Row.Offset_ <= Found->second.Offset_)
    return false;
  Found->second = {Row.Offset_, Row.Active_};
  return Row.Active_ != Before;
}

std::vector<EvacuationRow> endedEvacuations(const EvacuationState &State,
                                            std::span<const std::string> Named,
                                            LogOffset End) {
  std::vector<EvacuationRow> Ended;
  for (const auto &[Name, Known] : State.DataCentres_) {
    const bool IsNamed =
        std::find(Named.begin(), Named.end(), Name) != Named.end();
    const bool IsOlder =
        Known.Offset_ < End && eraOf(Known.Offset_) == eraOf(End);
    if (Known.Active_ && !IsNamed && IsOlder)
      Ended.push_back({Name, End - 1, false});
  }
  return Ended;
}

std::vector<EvacuationRow> evacuationRows(const EvacuationState &State) {
  std::vector<EvacuationRow> Rows;
  for (const auto &[Name, Known] : State.DataCentres_)
    Rows.push_back({Name, Known.Offset_, Known.Active_});
  return Rows;
}

} // namespace endivewharf
