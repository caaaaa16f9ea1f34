// A part is cleared by any answer that begins under it. A part that is not
// becomes a suspect when requests with it break at several upstreams; then
// requests with it are tried one at a time (parttrials.h), and the trials
// decide.
#include "promptparts.h"

#include "calls.h"
#include "controllog.h"
#include "diagnostics.h"
#include "dispatch.h"
#include "membership.h"
#include "parttrials.h"

#include <algorithm>
#include <fmt/format.h>
#include <xxhash.h>

namespace endivewharf {

namespace {

constexpr std::size_t MaxClearedParts = 16384; // per generation
constexpr std::size_t MaxSuspects = 512;
constexpr std::size_t MaxBreaksPerSuspect = 12; // upstream incarnations
constexpr std::size_t MaxBlocks = 256;
constexpr std::size_t MaxNameBytes = 64;
/// Upstreams at which requests with a part must have broken before further ones
/// need a trial. A call that has itself broken needs one at once.
constexpr std::size_t SuspectBreaks = 2;
/// Trials that must break, with none that begins, before a part is blocked.
constexpr int TrialBreaksToBlock = 3;
constexpr Millis SingleBreakExpiry = 15000; // ms
constexpr Millis SuspectExpiry = 120000;    // ms
constexpr std::uint64_t BlockKeySeed = 9;   // hash seed

std::uint64_t partKey(std::string_view Model, std::string_view Id) {
  const std::uint64_t Seed = XXH3_64bits(Model.data(), Model.size());
  // 0 stands for no part.
  return std::max<std::uint64_t>(
      1, XXH3_64bits_withSeed(Id.data(), Id.size(), Seed));
}

PartName partName(const CallRequest &Request, std::size_t Index) {
  const std::string &Id = Request.PromptParts_[Index].Id_;
  return {partKey(Request.Model_, Id), Request.Model_.substr(0, MaxNameBytes),
          Id.substr(0, MaxNameBytes)};
}

std::string partIds(const BlockedPartsFact &Fact) {
  std::string Ids;
  for (const PartName &Part : Fact.Parts_)
    Ids += (Ids.empty() ? "" : "+") + Part.Id_;
  return Ids;
}

bool hasKey(std::span<const std::uint64_t> Keys, std::uint64_t Key) {
  return std::find(Keys.begin(), Keys.end(), Key) != Keys.end();
}

/// @return true if a prompt has all parts of a block in force
bool matches(const BlockedPartsFact &Fact,
             std::span<const std::uint64_t> Keys) {
  return !Fact.Lifted_ && std::all_of(Fact.Parts_.begin(), Fact.Parts_.end(),
                                      [&](const PartName &Part) {
                                        return hasKey(Keys, Part.Key_);
                                      });
}

const BlockedPartsFact *findBlock(const State &S, const Call &C) {
  if (C.SharedPartKeys_.empty())
    return nullptr;
  for (const auto &[Key, Fact] : S.Parts_.Blocked_)
    if (matches(Fact, C.SharedPartKeys_))
      return &Fact;
  return nullptr;
}

bool isInBlock(const State &S, std::uint64_t Key) {
  return std::any_of(S.Parts_.Blocked_.begin(), S.Parts_.Blocked_.end(),
                     [&](const auto &Entry) {
                       return !Entry.second.Lifted_ &&
                              std::any_of(Entry.second.Parts_.begin(),
                                          Entry.second.Parts_.end(),
                                          [&](const PartName &Part) {
                                            return Part.Key_ == Key;
                                          });
                     });
}

/// @return true if a block of other parts accounts for the end of an upstream
bool isExplained(const State &S, std::uint64_t Key, std::uint32_t Upstream) {
  return std::any_of(
      S.Parts_.Blocked_.begin(), S.Parts_.Blocked_.end(),
      [&](const auto &Entry) {
        const BlockedPartsFact &Fact = Entry.second;
        const auto &Ended = Fact.UpstreamHashes_;
        return !Fact.Lifted_ &&
               std::find(Ended.begin(), Ended.end(), Upstream) != Ended.end() &&
               std::none_of(
                   Fact.Parts_.begin(), Fact.Parts_.end(),
                   [&](const PartName &Part) { return Part.Key_ == Key; });
      });
}

void remember(State &S, std::uint64_t Key) {
  auto &[Newer, Older] = S.Parts_.Cleared_;
  if (Newer.size() >= MaxClearedParts) {
    Older = std::move(Newer);
    Newer.clear();
  }
  Newer.insert(Key);
}

int trialBreaks(const SuspectPart &Suspect) {
  std::size_t Count = 0;
  for (const auto &[Upstream, TrialIds] : Suspect.Breaks_)
    Count += TrialIds.size();
  return static_cast<int>(Count);
}

/// Makes room for a new suspect by dropping the one with the fewest breaks, the
/// oldest of these first. Parts of a block stay.
void evictSuspect(State &S) {
  auto &Suspects = S.Parts_.Suspects_;
  auto Weakest = Suspects.end();
  for (auto It = Suspects.begin(); It != Suspects.end(); ++It) {
    if (isInBlock(S, It->first))
      continue;
    const auto Strength = [](const SuspectPart &P) {
      return std::pair(P.Breaks_.size(), P.LastBreakAt_);
    };
    if (Weakest == Suspects.end() ||
        Strength(It->second) < Strength(Weakest->second))
      Weakest = It;
  }
  if (Weakest != Suspects.end())
    Suspects.erase(Weakest);
}

/// Refuses the calls that a new block concerns. An attempt that has not begun
/// its answer is cancelled, so that its upstream does not end.
void refuseBlockedCalls(State &S, const BlockedPartsFact &Fact, CallId Except,
                        Effects &Out) {
  std::vector<CallId> Ids;
  for (const auto &[Id, C] : S.Calls_) {
    const auto Running = S.Attempts_.find(C.Attempt_);
    const bool Begun =
        Running != S.Attempts_.end() && Running->second.FirstTokenAt_ != 0;
    if (Id != Except && !Begun && !C.SharedPartKeys_.empty() &&
        matches(Fact, C.SharedPartKeys_))
      Ids.push_back(Id);
  }
  std::sort(Ids.begin(), Ids.end());
  for (const CallId Id : Ids) {
    Call &C = S.Calls_.at(Id);
    const RunState Run = runStateOf(S, C);
    refuseCall(S, C,
               {Run == RunState::NotRun ? ErrorKind::PartBlocked
                                        : ErrorKind::UpstreamFailed,
                Run, "the prompt has a part that ends upstreams", 0},
               Out);
  }
}

/// Drops the breaks of other parts that a block explains.
void dropExplainedBreaks(State &S) {
  for (auto &[Key, Suspect] : S.Parts_.Suspects_) {
    const std::uint64_t PartKey = Key;
    std::erase_if(Suspect.Breaks_, [&](const auto &Break) {
      return isExplained(S, PartKey, Break.first);
    });
  }
  std::erase_if(S.Parts_.Suspects_,
                [](const auto &Entry) { return Entry.second.Breaks_.empty(); });
}

/// Puts a block into force.
/// @param Except call that is not refused here
/// @param Found true if this process has found it and makes it durable
void applyBlock(State &S, const BlockedPartsFact &Fact, CallId Except,
                bool Found, Effects &Out) {
  auto &Blocked = S.Parts_.Blocked_;
  const std::uint64_t Key = blockKey(Fact);
  const auto Known = Blocked.find(Key);
  if (Known != Blocked.end() && (Known->second.Lifted_ || !Fact.Lifted_))
    return;
  if (Known == Blocked.end() && Blocked.size() >= MaxBlocks) {
    // Suspects go on to be tried one at a time.
    logWarning(Out, "part_blocks_full", {{"parts", partIds(Fact)}});
    return;
  }
  Blocked[Key] = Fact;
  S.Parts_.FactsOutbox_.BlockedParts_.push_back(Fact);
  if (Found)
    queueLogRecord(S, BlockedPartsRecord{Fact});
  incrementCounter(S, Fact.Lifted_ ? "parts_unblocked" : "parts_blocked");
  recordDecision(S, partIds(Fact),
                 Fact.Lifted_ ? "part unblocked" : "part blocked");
  logWarning(Out, Fact.Lifted_ ? "part_unblocked" : "part_blocked",
             {{"parts", partIds(Fact)},
              {"model", Fact.Parts_.empty() ? "" : Fact.Parts_[0].Model_},
              {"ended", std::to_string(Fact.UpstreamHashes_.size())},
              {"source", Found ? "own" : "peer"}});
  if (Fact.Lifted_)
    return;
  dropExplainedBreaks(S);
  refuseBlockedCalls(S, Fact, Except, Out);
}

/// Blocks the parts of a set that are suspects with enough broken trials.
/// Where they cannot be told apart they are blocked together, so that a prompt
/// with only some of them is tried.
void blockIfProved(State &S, std::span<const std::uint64_t> Keys, CallId Except,
                   Effects &Out) {
  BlockedPartsFact Fact;
  std::set<std::uint32_t> Ended;
  for (const std::uint64_t Key : Keys) {
    const auto Found = S.Parts_.Suspects_.find(Key);
    if (Found == S.Parts_.Suspects_.end() || isBlockedAlone(S, Key) ||
        Found->second.Breaks_.size() < SuspectBreaks ||
        trialBreaks(Found->second) < TrialBreaksToBlock)
      continue;
    Fact.Parts_.push_back(Found->second.Name_);
    for (const auto &[Upstream, TrialIds] : Found->second.Breaks_)
      Ended.insert(Upstream);
  }
  if (Fact.Parts_.empty())
    return;
  // Another suspect that was present at all of these ends may be the cause.
  const bool OtherExplains = std::any_of(
      S.Parts_.Suspects_.begin(), S.Parts_.Suspects_.end(),
      [&](const auto &Entry) {
        return !hasKey(Keys, Entry.first) &&
               std::all_of(Ended.begin(), Ended.end(),
                           [&](std::uint32_t Upstream) {
                             return Entry.second.Breaks_.count(Upstream) > 0;
                           });
      });
  if (OtherExplains)
    return;
  Fact.UpstreamHashes_.assign(Ended.begin(), Ended.end());
  applyBlock(S, Fact, Except, true, Out);
}

/// Ends the suspicion of a part and lifts the blocks that contain it.
/// @param Found true if an answer has begun here
void clearPart(State &S, std::uint64_t Key, bool Found, Effects &Out) {
  remember(S, Key);
  S.Parts_.Trials_.erase(Key);
  const auto Suspect = S.Parts_.Suspects_.find(Key);
  if (Suspect == S.Parts_.Suspects_.end() && !isInBlock(S, Key))
    return;
  S.Parts_.FactsOutbox_.ClearedParts_.push_back({Key});
  if (Suspect != S.Parts_.Suspects_.end()) {
    logEvent(Out, "part_cleared",
             {{"part", Suspect->second.Name_.Id_},
              {"breaks", std::to_string(Suspect->second.Breaks_.size())},
              {"source", Found ? "own" : "peer"}});
    S.Parts_.Suspects_.erase(Suspect);
  }
  std::vector<BlockedPartsFact> Lifted;
  for (const auto &[BlockKey, Fact] : S.Parts_.Blocked_)
    if (!Fact.Lifted_ &&
        std::any_of(Fact.Parts_.begin(), Fact.Parts_.end(),
                    [&](const PartName &Part) { return Part.Key_ == Key; }))
      Lifted.push_back(Fact);
  for (BlockedPartsFact &Fact : Lifted) {
    Fact.Lifted_ = true;
    applyBlock(S, Fact, 0, Found, Out);
    std::vector<std::uint64_t> Others;
    for (const PartName &Part : Fact.Parts_)
      if (Part.Key_ != Key)
        Others.push_back(Part.Key_);
    if (Found)
      blockIfProved(S, Others, 0, Out);
  }
}

void addBreakRows(const SuspectPart &Suspect, FactsMessage &Facts) {
  for (const auto &[Upstream, TrialIds] : Suspect.Breaks_) {
    if (TrialIds.empty())
      Facts.PartBreaks_.push_back({Suspect.Name_, Upstream, 0});
    for (const std::uint32_t TrialId : TrialIds)
      Facts.PartBreaks_.push_back({Suspect.Name_, Upstream, TrialId});
  }
}

/// Tells the owner of a call's trial that it broke.
void endTrialOf(State &S, Call &C, std::uint32_t Upstream,
                std::uint32_t TrialId) {
  const auto Found = std::find(C.SharedPartKeys_.begin(),
                               C.SharedPartKeys_.end(), C.TrialPart_);
  if (Found == C.SharedPartKeys_.end())
    return;
  const auto Index =
      static_cast<std::size_t>(Found - C.SharedPartKeys_.begin());
  endBrokenTrial(S, C, partName(C.Request_, Index), Upstream, TrialId);
}

std::uint32_t newTrialId(State &S) {
  return std::max<std::uint32_t>(1, static_cast<std::uint32_t>(nextRandom(S)));
}

} // namespace

std::vector<std::uint64_t> sharedPartKeys(const CallRequest &Request) {
  std::vector<std::uint64_t> Keys;
  for (std::size_t I = 0; I + 1 < Request.PromptParts_.size(); ++I)
    Keys.push_back(partKey(Request.Model_, Request.PromptParts_[I].Id_));
  return Keys;
}

std::uint64_t blockKey(const BlockedPartsFact &Fact) {
  std::vector<std::uint64_t> Keys;
  for (const PartName &Part : Fact.Parts_)
    Keys.push_back(Part.Key_);
  std::sort(Keys.begin(), Keys.end());
  return XXH3_64bits_withSeed(Keys.data(), Keys.size() * sizeof(Keys[0]),
                              BlockKeySeed);
}

bool isBlockedAlone(const State &S, std::uint64_t Key) {
  const std::uint64_t Keys[] = {Key};
  return std::any_of(
      S.Parts_.Blocked_.begin(), S.Parts_.Blocked_.end(),
      [&](const auto &Entry) { return matches(Entry.second, Keys); });
}

bool isCleared(const State &S, std::uint64_t Key) {
  const auto &[Newer, Older] = S.Parts_.Cleared_;
  return Newer.count(Key) > 0 || Older.count(Key) > 0;
}

std::optional<CallError> checkBlockedParts(State &S, const Call &C) {
  const BlockedPartsFact *Fact = findBlock(S, C);
  if (Fact == nullptr)
    return std::nullopt;
  incrementCounter(S, "refused_blocked_part");
  // The same prompt would be refused again, so no time to return is given.
  return CallError{ErrorKind::PartBlocked, RunState::NotRun,
                   fmt::format("the prompt has a part that ends upstreams: {}; "
                               "{} have ended",
                               partIds(*Fact), Fact->UpstreamHashes_.size()),
                   0};
}

std::uint64_t suspectPartOf(const State &S, const Call &C) {
  if (S.Parts_.Suspects_.empty())
    return 0;
  std::uint64_t Strongest = 0;
  std::size_t MostBreaks = C.BrokenBeforeAnswer_ ? 0 : SuspectBreaks - 1;
  for (const std::uint64_t Key : C.SharedPartKeys_) {
    const auto Found = S.Parts_.Suspects_.find(Key);
    if (Found == S.Parts_.Suspects_.end() ||
        Found->second.Breaks_.size() <= MostBreaks)
      continue;
    MostBreaks = Found->second.Breaks_.size();
    Strongest = Key;
  }
  return Strongest;
}

void recordAnswerBegun(State &S, Call &C, Effects &Out) {
  for (const std::uint64_t Key : C.SharedPartKeys_)
    clearPart(S, Key, true, Out);
  endTrial(S, C);
}

bool mergePartBreak(State &S, const PartBreakRow &Row, Effects &Out) {
  auto &Suspects = S.Parts_.Suspects_;
  const std::uint64_t Key = Row.Part_.Key_;
  if (isCleared(S, Key) || isExplained(S, Key, Row.UpstreamHash_))
    return false;
  if (Suspects.count(Key) == 0 && Suspects.size() >= MaxSuspects)
    evictSuspect(S);
  SuspectPart &Suspect = Suspects[Key];
  const bool NewUpstream = Suspect.Breaks_.count(Row.UpstreamHash_) == 0;
  const bool Full =
      Suspect.Breaks_.size() >= MaxBreaksPerSuspect ||
      trialBreaks(Suspect) >= static_cast<int>(MaxBreaksPerSuspect);
  if (Full || (!NewUpstream && Row.TrialId_ == 0))
    return false;
  std::set<std::uint32_t> &TrialIds = Suspect.Breaks_[Row.UpstreamHash_];
  if (Row.TrialId_ != 0 && !TrialIds.insert(Row.TrialId_).second)
    return false;
  Suspect.Name_ = Row.Part_;
  Suspect.LastBreakAt_ = S.Now_;
  S.Parts_.FactsOutbox_.PartBreaks_.push_back(Row);
  const bool News =
      Row.TrialId_ != 0 || Suspect.Breaks_.size() == SuspectBreaks;
  if (News && !isInBlock(S, Key))
    logWarning(Out, "part_suspected",
               {{"part", Row.Part_.Id_},
                {"model", Row.Part_.Model_},
                {"breaks", std::to_string(Suspect.Breaks_.size())},
                {"trial_breaks", std::to_string(trialBreaks(Suspect))}});
  return true;
}

bool recordPartBreak(State &S, Call &C, const Attempt &A,
                     AttemptFailure Failure, Effects &Out) {
  if (Failure != AttemptFailure::ConnectionBroken || A.FirstTokenAt_ != 0 ||
      C.SharedPartKeys_.empty())
    return false;
  C.BrokenBeforeAnswer_ = true;
  const std::uint32_t Upstream =
      instanceHash(S.Upstreams_[A.Upstream_].Row_.Host_);
  const std::uint32_t TrialId = C.TrialPart_ == 0 ? 0 : newTrialId(S);
  bool Suspected = findBlock(S, C) != nullptr;
  for (std::size_t I = 0; I < C.SharedPartKeys_.size(); ++I) {
    const std::uint64_t Key = C.SharedPartKeys_[I];
    mergePartBreak(S, {partName(C.Request_, I), Upstream, TrialId}, Out);
    const auto Found = S.Parts_.Suspects_.find(Key);
    Suspected = Suspected || (Found != S.Parts_.Suspects_.end() &&
                              Found->second.Breaks_.size() >= SuspectBreaks);
  }
  if (TrialId != 0) {
    blockIfProved(S, C.SharedPartKeys_, C.Id_, Out);
    endTrialOf(S, C, Upstream, TrialId);
  }
  return Suspected;
}

void mergePartFacts(State &S, const std::string &From,
                    const FactsMessage &Facts, Effects &Out) {
  for (const BlockedPartsFact &Fact : Facts.BlockedParts_)
    mergeBlockedParts(S, Fact, Out);
  FactsMessage Reply;
  for (const PartBreakRow &Row : Facts.PartBreaks_) {
    mergePartBreak(S, Row, Out);
    if (isCleared(S, Row.Part_.Key_))
      Reply.ClearedParts_.push_back({Row.Part_.Key_});
  }
  for (const ClearedPartRow &Row : Facts.ClearedParts_)
    clearPart(S, Row.Key_, false, Out);
  if (!Reply.ClearedParts_.empty())
    Out.push_back(SendToPeer{From, std::move(Reply)});
}

void mergeBlockedParts(State &S, const BlockedPartsFact &Fact, Effects &Out) {
  if (!Fact.Parts_.empty())
    applyBlock(S, Fact, 0, false, Out);
}

void addPartFacts(const State &S, FactsMessage &Facts) {
  for (const auto &[Key, Fact] : S.Parts_.Blocked_)
    Facts.BlockedParts_.push_back(Fact);
  for (const auto &[Key, Suspect] : S.Parts_.Suspects_)
    if (Suspect.Breaks_.size() >= SuspectBreaks)
      addBreakRows(Suspect, Facts);
}

void forgetClearedUnderOldVersions(State &S, std::span<const HostRow> Hosts) {
  std::map<std::string, std::set<std::string>> Versions;
  for (const HostRow &Row : Hosts)
    Versions[Row.Service_].insert(Row.Version_);
  bool Replaced = false;
  for (const auto &Entry : Versions) {
    const std::set<std::string> &Served = Entry.second;
    std::set<std::string> &Before = S.Parts_.ServedVersions_[Entry.first];
    Replaced = Replaced ||
               std::any_of(Before.begin(), Before.end(), [&](const auto &Old) {
                 return Served.count(Old) == 0;
               });
    Before = Served;
  }
  if (Replaced)
    S.Parts_.Cleared_ = {};
}

void tickPromptParts(State &S, Effects &Out) {
  std::erase_if(S.Parts_.Suspects_, [&](const auto &Entry) {
    const SuspectPart &Suspect = Entry.second;
    const Millis Expiry = Suspect.Breaks_.size() < SuspectBreaks
                              ? SingleBreakExpiry
                              : SuspectExpiry;
    return S.Now_ - Suspect.LastBreakAt_ > Expiry && !isInBlock(S, Entry.first);
  });
  FactsMessage &Outbox = S.Parts_.FactsOutbox_;
  if (Outbox.PartBreaks_.empty() && Outbox.ClearedParts_.empty() &&
      Outbox.BlockedParts_.empty())
    return;
  gossipFacts(S, Outbox, "", Out);
  Outbox = {};
}

} // namespace endivewharf
