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

Json upstreamsJson(const State &S) {
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
                    {"limit", U.ConcurrencyLimit_},
                    {"first_token_ms", U.FirstTokenMs_},
                    {"avoided", S.Now_ < U.AvoidUntil_},
                    {"loaded", Loaded}});
  }
  return Rows;
}

Json callsJson(const State &S) {
  Json Rows = Json::array();
  for (const auto &[Id, C] : S.Calls_)
    Rows.push_back({{"request", C.RequestId_},
                    {"account", C.Account_},
                    {"phase", name(C.Phase_)},
                    {"priority", name(C.Request_.Priority_)},
                    {"age_ms", S.Now_ - C.ArrivedAt_},
                    {"attempts", C.AttemptCount_},
                    {"tokens", C.NextIndex_}});
  return Rows;
}

Json peersJson(const State &S) {
  Json Rows = Json::array();
  for (const auto &[Name, M] : S.Membership_.Peers_)
    Rows.push_back({{"name", Name},
                    {"incarnation", M.Row_.Instance_.Incarnation_},
                    {"data_centre", M.Row_.DataCentre_},
                    {"zone", M.Row_.Zone_},
                    {"alive", M.Alive_},
                    {"draining", M.Row_.Draining_},
                    {"config_version", M.Row_.ConfigVersion_}});
  return Rows;
}

Json rolloutsJson(const State &S) {
  Json Rows = Json::array();
  for (const auto &[Model, M] : S.Release_.Rollouts_)
    Rows.push_back({{"note", M.Row_.NoteId_},
                    {"note_offset", M.Row_.NoteVersion_},
                    {"model", Model},
                    {"from", M.Row_.FromVersion_},
                    {"to", M.Row_.ToVersion_},
                    {"share", M.Row_.Share_},
                    {"taken_back", M.Row_.RolledBack_},
                    {"reason", M.Row_.Reason_},
                    {"done", !M.Row_.RolledBack_ && M.Row_.Share_ >= 1},
                    {"late", M.LateReported_},
                    {"deadline_unix_ms", M.Row_.DeadlineUnixMs_},
                    {"new_attempts", M.NewAttempts_}});
  return Rows;
}

Json rejectedJson(const std::map<LogOffset, std::string> &Rejected) {
  Json Rows = Json::object();
  for (const auto &[Offset, Why] : Rejected)
    Rows[std::to_string(Offset)] = Why;
  return Rows;
}

Json serviceQueuesJson(const State &S) {
  Json Rows = Json::array();
  for (const auto &[Name, Lane] : S.Admission_.ServiceQueues_)
    Rows.push_back({{"service", Name},
                    {"waiting_interactive", Lane.WaitingCalls_[0]},
                    {"waiting_batch", Lane.WaitingCalls_[1]},
                    {"drain_per_second_interactive", Lane.AnswersPerSecond_[0]},
                    {"drain_per_second_batch", Lane.AnswersPerSecond_[1]},
                    {"retry_budget", Lane.RetryBudget_}});
  return Rows;
}

Json decisionsJson(const State &S) {
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
                     {"rejected", rejectedJson(S.Config_.RejectedVersions_)}};
  Whole["log"] = {{"available", S.Log_.Available_},
                  {"read_through", S.Log_.LastReadOffset_},
                  {"saw_tail", S.Log_.ReachedTail_},
                  {"outbox", S.Log_.Outbox_.size()},
                  {"control_version", S.Control_.Version_}};
  Whole["lease"] = {{"holder", S.Lease_.Holder_.Name_},
                    {"epoch", S.Lease_.Epoch_},
                    {"held_here", holdsLease(S)}};
  Whole["release"] = {{"note_version", S.Release_.NoteVersion_},
                      {"moves", rolloutsJson(S)},
                      {"evidence_rows", S.Release_.Evidence_.size()},
                      {"rejected", rejectedJson(S.Release_.RejectedNotes_)}};
  Whole["claims"] = {{"keys", S.Claims_.Keys_.size()}};
  Whole["admission"] = serviceQueuesJson(S);
  Whole["upstreams"] = upstreamsJson(S);
  Whole["calls"] = callsJson(S);
  Whole["held_records"] = S.Retained_.ById_.size();
  Whole["members"] = peersJson(S);
  Whole["counters"] = S.Counters_.Values_;
  Whole["decisions"] = decisionsJson(S);
  return Whole.dump(2, ' ', false, Json::error_handler_t::replace);
}

} // namespace endivewharf
