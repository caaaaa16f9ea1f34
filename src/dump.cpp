// Writes the state of a process as JSON. The keys and the names of phases and
// stages are part of the dump's format.
#include "dump.h"

#include "lease.h"
#include "membership.h"

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
  constexpr std::array Names = {"queued",        "claiming", "running",
                                "awaiting_key",  "finding",  "moving_out",
                                "awaiting_quota"};
  return Names[static_cast<std::size_t>(Value)];
}

Json upstreamsJson(const State &S) {
  Json Rows = Json::array();
  for (const Upstream &U : S.Upstreams_) {
    Json Loaded = Json::array();
    for (const LoadedVersion &V : U.Loaded_)
      Loaded.push_back(V.Model_ + "@" + V.Version_);
    Rows.push_back(
        {{"name", U.Row_.Host_.Name_},
         {"incarnation", U.Row_.Host_.Incarnation_},
         {"address", U.Row_.Address_},
         {"data_centre", U.Row_.DataCentre_},
         {"zone", U.Row_.Zone_},
         {"leaving", U.Leaving_},
         {"listed", U.Listed_},
         {"in_flight", U.InFlight_},
         {"limit", U.ConcurrencyLimit_},
         {"first_token_ms", U.FirstTokenMs_},
         {"slowness", slowness(S.Speeds_, instanceHash(U.Row_.Host_))},
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
  for (const auto &[Name, Peer] : S.Membership_.Peers_)
    Rows.push_back({{"name", Name},
                    {"incarnation", Peer.Row_.Instance_.Incarnation_},
                    {"data_centre", Peer.Row_.DataCentre_},
                    {"zone", Peer.Row_.Zone_},
                    {"alive", Peer.Alive_},
                    {"draining", Peer.Row_.Draining_},
                    {"config_version", Peer.Row_.ConfigVersion_}});
  return Rows;
}

Json rolloutsJson(const State &S) {
  Json Rows = Json::array();
  for (const auto &[Model, Rollout] : S.Release_.Rollouts_)
    Rows.push_back(
        {{"note", Rollout.Row_.NoteId_},
         {"note_offset", Rollout.Row_.NoteVersion_},
         {"model", Model},
         {"from", Rollout.Row_.FromVersion_},
         {"to", Rollout.Row_.ToVersion_},
         {"share", Rollout.Row_.Share_},
         {"taken_back", Rollout.Row_.RolledBack_},
         {"reason", Rollout.Row_.Reason_},
         {"done", !Rollout.Row_.RolledBack_ && Rollout.Row_.Share_ >= 1},
         {"late", Rollout.LateReported_},
         {"deadline_unix_ms", Rollout.Row_.DeadlineUnixMs_},
         {"new_attempts", Rollout.NewAttempts_}});
  return Rows;
}

/// Reasons of rejected records by their offset in the log.
Json rejectedJson(const std::map<LogOffset, std::string> &Rejected) {
  Json Rows = Json::object();
  for (const auto &[Offset, Reason] : Rejected)
    Rows[std::to_string(Offset)] = Reason;
  return Rows;
}

Json serviceQueuesJson(const State &S) {
  Json Rows = Json::array();
  for (const auto &[Name, Queue] : S.Admission_.ServiceQueues_)
    Rows.push_back(
        {{"service", Name},
         {"waiting_interactive", Queue.WaitingCalls_[0]},
         {"waiting_batch", Queue.WaitingCalls_[1]},
         {"drain_per_second_interactive", Queue.AnswersPerSecond_[0]},
         {"drain_per_second_batch", Queue.AnswersPerSecond_[1]},
         {"retry_budget", Queue.RetryBudget_}});
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
  Json Dump;
  Dump["process"] = {{"name", S.Self_.Name_},
                     {"incarnation", S.Self_.Incarnation_},
                     {"data_centre", S.Settings_.DataCentre_},
                     {"zone", S.Settings_.Zone_},
                     {"stage", name(S.Stage_)}};
  Dump["config"] = {{"version", S.Config_.Version_},
                    {"rejected", rejectedJson(S.Config_.RejectedVersions_)}};
  Dump["log"] = {{"available", S.Log_.Available_},
                 {"read_through", S.Log_.LastReadOffset_},
                 {"saw_tail", S.Log_.ReachedTail_},
                 {"outbox", S.Log_.Outbox_.size()},
                 {"control_version", S.Control_.Version_}};
  Dump["lease"] = {{"holder", S.Lease_.Holder_.Name_},
                   {"epoch", S.Lease_.Epoch_},
                   {"held_here", holdsLease(S)}};
  Dump["release"] = {{"note_version", S.Release_.NoteVersion_},
                     {"moves", rolloutsJson(S)},
                     {"evidence_rows", S.Release_.Evidence_.size()},
                     {"rejected", rejectedJson(S.Release_.RejectedNotes_)}};
  Dump["claims"] = {{"keys", S.Claims_.Keys_.size()}};
  Dump["admission"] = serviceQueuesJson(S);
  Dump["upstreams"] = upstreamsJson(S);
  Dump["calls"] = callsJson(S);
  Dump["held_records"] = S.Retained_.ById_.size();
  Dump["members"] = peersJson(S);
  Dump["counters"] = S.Counters_.Values_;
  Dump["decisions"] = decisionsJson(S);
  return Dump.dump(2, ' ', false, Json::error_handler_t::replace);
}

} // namespace endivewharf
