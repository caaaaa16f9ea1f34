// State dump.
#include "dump.h"

#include "lease.h"

#include <array>
#include <nlohmann/json.hpp>

namespace endivewharf {

namespace {

using Json = nlohmann::json;

std::string_view name(Stage Value) {
  constexpr std::array Names = {"starting", "serving", "draining", "stopped"};
  return Names[static_cast<std::size_t>(Value)];
}

std::string_view name(CallPhase Value) {
  constexpr std::array Names = {"queued",       "claiming", "running",
                                "awaiting_key", "finding",  "moving_out"};
  return Names[static_cast<std::size_t>(Value)];
}

Json upstreams(const State &S) {
  Json Rows = Json::array();
  for (const Upstream &U : S.Upstreams_) {
    Json Loaded = Json::array();
    for (const LoadedVersion &V : U.Loaded_)
      Loaded.push_back(V.Model_ + "@" + V.Version_);
    Rows.push_back({{"name", U.Row_.Host_.Name_},
                    {"incarnation", U.Row_.Host_.Incarnation_},
                    {"address", U.Row_.Address_},
                    {"data_centre", U.Row_.DataCentre_},
                    {"zone", U.Row_.Zone_},
                    {"leaving", U.Leaving_},
                    {"listed", U.Listed_},
                    {"in_flight", U.InFlight_},
                    {"limit", U.Limit_},
                    {"first_token_ms", U.FirstTokenMs_},
                    {"avoided", S.Now_ < U.AvoidUntil_},
                    {"loaded", Loaded}});
  }
  return Rows;
}

Json calls(const State &S) {
  Json Rows = Json::array();
  for (const auto &[Id, C] : S.Calls_)
    Rows.push_back({{"request", C.RequestId_},
                    {"account", C.Account_},
                    {"phase", name(C.Phase_)},
                    {"priority", name(C.Request_.Priority_)},
                    {"age_ms", S.Now_ - C.ArrivedAt_},
                    {"attempts", C.Attempts_},
                    {"tokens", C.NextIndex_}});
  return Rows;
}

Json members(const State &S) {
  Json Rows = Json::array();
  for (const auto &[Name, M] : S.Membership_.Members_)
    Rows.push_back({{"name", Name},
                    {"incarnation", M.Row_.Life_.Incarnation_},
                    {"data_centre", M.Row_.DataCentre_},
                    {"zone", M.Row_.Zone_},
                    {"alive", M.Alive_},
                    {"draining", M.Row_.Draining_},
                    {"config_version", M.Row_.ConfigVersion_}});
  return Rows;
}

Json moves(const State &S) {
  Json Rows = Json::array();
  for (const auto &[Model, M] : S.Release_.Moves_)
    Rows.push_back({{"note", M.Row_.NoteId_},
                    {"note_offset", M.Row_.Note_},
                    {"model", Model},
                    {"from", M.Row_.From_},
                    {"to", M.Row_.To_},
                    {"share", M.Row_.Share_},
                    {"taken_back", M.Row_.Bad_},
                    {"reason", M.Row_.Reason_},
                    {"done", !M.Row_.Bad_ && M.Row_.Share_ >= 1},
                    {"late", M.LateReported_},
                    {"deadline_unix_ms", M.Row_.DeadlineUnixMs_},
                    {"new_attempts", M.NewAttempts_}});
  return Rows;
}

Json offsets(const std::map<LogOffset, std::string> &Rejected) {
  Json Rows = Json::object();
  for (const auto &[Offset, Why] : Rejected)
    Rows[std::to_string(Offset)] = Why;
  return Rows;
}

Json lanes(const State &S) {
  Json Rows = Json::array();
  for (const auto &[Name, Lane] : S.Admission_.Lanes_)
    Rows.push_back({{"service", Name},
                    {"waiting_interactive", Lane.Waiting_[0]},
                    {"waiting_batch", Lane.Waiting_[1]},
                    {"drain_per_second_interactive", Lane.DrainPerSecond_[0]},
                    {"drain_per_second_batch", Lane.DrainPerSecond_[1]},
                    {"retry_budget", Lane.RetryBudget_}});
  return Rows;
}

Json decisions(const State &S) {
  Json Rows = Json::array();
  for (const Decision &D : S.Decisions_)
    Rows.push_back({{"age_ms", S.Now_ - D.At_},
                    {"subject", D.Subject_},
                    {"text", D.Text_}});
  return Rows;
}

} // namespace

std::string dumpState(const State &S) {
  Json Whole;
  Whole["process"] = {{"name", S.Self_.Name_},
                      {"incarnation", S.Self_.Incarnation_},
                      {"data_centre", S.Settings_.DataCentre_},
                      {"zone", S.Settings_.Zone_},
                      {"stage", name(S.Stage_)}};
  Whole["config"] = {{"version", S.Config_.Version_},
                     {"rejected", offsets(S.Config_.Rejected_)}};
  Whole["log"] = {{"available", S.Log_.Available_},
                  {"read_through", S.Log_.ReadThrough_},
                  {"saw_tail", S.Log_.SawTail_},
                  {"outbox", S.Log_.Outbox_.size()},
                  {"control_version", S.Control_.Version_}};
  Whole["lease"] = {{"holder", S.Lease_.Holder_.Name_},
                    {"epoch", S.Lease_.Epoch_},
                    {"held_here", holdsLease(S)}};
  Whole["release"] = {{"note_version", S.Release_.NoteVersion_},
                      {"moves", moves(S)},
                      {"evidence_rows", S.Release_.Evidence_.size()},
                      {"rejected", offsets(S.Release_.RejectedNotes_)}};
  Whole["claims"] = {{"keys", S.Claims_.Keys_.size()}};
  Whole["admission"] = lanes(S);
  Whole["upstreams"] = upstreams(S);
  Whole["calls"] = calls(S);
  Whole["held_records"] = S.Held_.ById_.size();
  Whole["members"] = members(S);
  Whole["counters"] = S.Counters_.Values_;
  Whole["decisions"] = decisions(S);
  return Whole.dump(2, ' ', false, Json::error_handler_t::replace);
}

} // namespace endivewharf
