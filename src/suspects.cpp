// A part is cleared by any answer that begins under it. A part that is not
// becomes a suspect when requests with it break at several upstreams; then
// requests with it are tried one at a time (trials.h), and the trials
// decide.
#include "suspects.h"

#include "calls.h"
#include "controllog.h"
#include "diagnostics.h"
#include "dispatch.h"
#include "membership.h"
#include "trials.h"

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

std::string partIds(const BlockFact &Fact) {
  std::string Ids;
  for (const PartName &Part : Fact.Parts_)
    Ids += (Ids.empty() ? "" : "+") + Part.Id_;
  return Ids;
}

bool hasKey(std::span<const std::uint64_t> Keys, std::uint64_t Key) {
  return std::find(Keys.begin(), Keys.end(), Key) != Keys.end();
}

/// @return true if a prompt has all parts of a block in force
bool matches(const BlockFact &Fact, std::span<const std::uint64_t> Keys) {
  return !Fact.Lifted_ && std::all_of(Fact.Parts_.begin(), Fact.Parts_.end(),
                                      [&](const PartName &Part) {
                                        return hasKey(Keys, Part.Key_);
                                      });
}

const BlockFact *findBlock(const State &S, const Call &C) {
  if (C.SharedPartKeys_.empty())
    return nullptr;
  for (const auto &[Key, Fact] : S.Suspicion_.Blocks_)
    if (matches(Fact, C.SharedPartKeys_))
      return &Fact;
  return nullptr;
}

bool isInBlock(const State &S, std::uint64_t Key) {
  return std::any_of(S.Suspicion_.Blocks_.begin(), S.Suspicion_.Blocks_.end(),
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
      S.Suspicion_.Blocks_.begin(), S.Suspicion_.Blocks_.end(),
      [&](const auto &Entry) {
        const BlockFact &Fact = Entry.second;
        const auto &Ended = Fact.UpstreamHashes_;
        return !Fact.Lifted_ &&
               std::find(Ended.begin(), Ended.end(), Upstream) != Ended.end() &&
               std::none_of(
                   Fact.Parts_.begin(), Fact.Parts_.end(),
                   [&](const PartName &Part) { return Part.Key_ == Key; });
      });
}

void remember(State &S, std::uint64_t Key) {
  auto &[Newer, Older] = S.Suspicion_.Cleared_;
  if (Newer.size() >= MaxClearedParts) {
    Older = std::move(Newer);
    Newer.clear();
  }
  Newer.insert(Key);
}

int trialBreaks(const Suspect &Suspect) {
  std::size_t Count = 0;
  for (const auto &[Upstream, TrialIds] : Suspect.Breaks_)
    Count += TrialIds.size();
  return static_cast<int>(Count);
}

/// Makes room for a new suspect by dropping the one with the fewest breaks, the
/// oldest of these first. Parts of a block stay.
void evictSuspect(State &S) {
  auto &Suspects = S.Suspicion_.Suspects_;
  auto Weakest = Suspects.end();
  for (auto It = Suspects.begin(); It != Suspects.end(); ++It) {
    if (isInBlock(S, It->first))
      continue;
    const auto Strength = [](const Suspect &P) {
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
void refuseBlockedCalls(State &S, const BlockFact &Fact, CallId Except,
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
  for (auto &[Key, Suspect] : S.Suspicion_.Suspects_) {
    const std::uint64_t PartKey = Key;
    std::erase_if(Suspect.Breaks_, [&](const auto &Break) {
      return isExplained(S, PartKey, Break.first);
    });
  }
  std::erase_if(S.Suspicion_.Suspects_,
                [](const auto &Entry) { return Entry.second.Breaks_.empty(); });
}

/// Puts a block into force.
/// @param Except call that is not refused here
/// @param Found true if this process has found it and makes it durable
void applyBlock(State &S, const BlockFact &Fact, CallId Except, bool Found,
                Effects &Out) {
  auto &Blocked = S.Suspicion_.Blocks_;
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
  S.Suspicion_.FactsOutbox_.Blocks_.push_back(Fact);
  if (Found)
    queueLogRecord(S, BlockRecord{Fact});
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
  BlockFact Fact;
  std::set<std::uint32_t> Ended;
  for (const std::uint64_t Key : Keys) {
    const auto Found = S.Suspicion_.Suspects_.find(Key);
    if (Found == S.Suspicion_.Suspects_.end() || isBlockedAlone(S, Key) ||
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
      S.Suspicion_.Suspects_.begin(), S.Suspicion_.Suspects_.end(),
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
  S.Suspicion_.Trials_.erase(Key);
  const auto Suspect = S.Suspicion_.Suspects_.find(Key);
  if (Suspect == S.Suspicion_.Suspects_.end() && !isInBlock(S, Key))
    return;
  S.Suspicion_.FactsOutbox_.Cleared_.push_back({Key});
  if (Suspect != S.Suspicion_.Suspects_.end()) {
    logEvent(Out, "part_cleared",
             {{"part", Suspect->second.Name_.Id_},
              {"breaks", std::to_string(Suspect->second.Breaks_.size())},
              {"source", Found ? "own" : "peer"}});
    S.Suspicion_.Suspects_.erase(Suspect);
  }
  std::vector<BlockFact> Lifted;
  for (const auto &[BlockKey, Fact] : S.Suspicion_.Blocks_)
    if (!Fact.Lifted_ &&
        std::any_of(Fact.Parts_.begin(), Fact.Parts_.end(),
                    [&](const PartName &Part) { return Part.Key_ == Key; }))
      Lifted.push_back(Fact);
  for (BlockFact &Fact : Lifted) {
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

void addBreakRows(const Suspect &Suspect, FactsMessage &Facts) {
  for (const auto &[Upstream, TrialIds] : Suspect.Breaks_) {
    if (TrialIds.empty())
      Facts.Breaks_.push_back({Suspect.Name_, Upstream, 0});
    for (const std::uint32_t TrialId : TrialIds)
      Facts.Breaks_.push_back({Suspect.Name_, Upstream, TrialId});
  }
}

/// Tells the owner of a call's trial that it broke.
void endTrialOf(State &S, Call &C, std::uint32_t Upstream,
                std::uint32_t TrialId) {
  const auto Found = std::find(C.SharedPartKeys_.begin(),
                               C.SharedPartKeys_.end(), C.TrialKey_);
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

std::uint64_t blockKey(const BlockFact &Fact) {
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
      S.Suspicion_.Blocks_.begin(), S.Suspicion_.Blocks_.end(),
      [&](const auto &Entry) { return matches(Entry.second, Keys); });
}

bool isCleared(const State &S, std::uint64_t Key) {
  const auto &[Newer, Older] = S.Suspicion_.Cleared_;
  return Newer.count(Key) > 0 || Older.count(Key) > 0;
}

std::optional<CallError> checkBlocked(State &S, const Call &C) {
  const BlockFact *Fact = findBlock(S, C);
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

std::uint64_t suspectKeyOf(const State &S, const Call &C) {
  if (S.Suspicion_.Suspects_.empty())
    return 0;
  std::uint64_t Strongest = 0;
  std::size_t MostBreaks = C.BrokenBeforeAnswer_ ? 0 : SuspectBreaks - 1;
  for (const std::uint64_t Key : C.SharedPartKeys_) {
    const auto Found = S.Suspicion_.Suspects_.find(Key);
    if (Found == S.Suspicion_.Suspects_.end() ||
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

bool mergeBreak(State &S, const BreakRow &Row, Effects &Out) {
  auto &Suspects = S.Suspicion_.Suspects_;
  const std::uint64_t Key = Row.Part_.Key_;
  if (isCleared(S, Key) || isExplained(S, Key, Row.UpstreamHash_))
    return false;
  if (Suspects.count(Key) == 0 && Suspects.size() >= MaxSuspects)
    evictSuspect(S);
  Suspect &Suspect = Suspects[Key];
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
  S.Suspicion_.FactsOutbox_.Breaks_.push_back(Row);
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

bool recordBreak(State &S, Call &C, const Attempt &A, AttemptFailure Failure,
                 Effects &Out) {
  if (Failure != AttemptFailure::ConnectionBroken || A.FirstTokenAt_ != 0 ||
      C.SharedPartKeys_.empty())
    return false;
  C.BrokenBeforeAnswer_ = true;
  const std::uint32_t Upstream =
      instanceHash(S.Upstreams_[A.Upstream_].Row_.Host_);
  const std::uint32_t TrialId = C.TrialKey_ == 0 ? 0 : newTrialId(S);
  bool Suspected = findBlock(S, C) != nullptr;
  for (std::size_t I = 0; I < C.SharedPartKeys_.size(); ++I) {
    const std::uint64_t Key = C.SharedPartKeys_[I];
    mergeBreak(S, {partName(C.Request_, I), Upstream, TrialId}, Out);
    const auto Found = S.Suspicion_.Suspects_.find(Key);
    Suspected = Suspected || (Found != S.Suspicion_.Suspects_.end() &&
                              Found->second.Breaks_.size() >= SuspectBreaks);
  }
  if (TrialId != 0) {
    blockIfProved(S, C.SharedPartKeys_, C.Id_, Out);
    endTrialOf(S, C, Upstream, TrialId);
  }
  return Suspected;
}

void mergeSuspectFacts(State &S, const std::string &From,
                       const FactsMessage &Facts, Effects &Out) {
  for (const BlockFact &Fact : Facts.Blocks_)
    mergeBlock(S, Fact, Out);
  FactsMessage Reply;
  for (const BreakRow &Row : Facts.Breaks_) {
    mergeBreak(S, Row, Out);
    if (isCleared(S, Row.Part_.Key_))
      Reply.Cleared_.push_back({Row.Part_.Key_});
  }
  for (const ClearedRow &Row : Facts.Cleared_)
    clearPart(S, Row.Key_, false, Out);
  if (!Reply.Cleared_.empty())
    Out.push_back(SendToPeer{From, std::move(Reply)});
}

void mergeBlock(State &S, const BlockFact &Fact, Effects &Out) {
  if (!Fact.Parts_.empty())
    applyBlock(S, Fact, 0, false, Out);
}

void addSuspectFacts(const State &S, FactsMessage &Facts) {
  for (const auto &[Key, Fact] : S.Suspicion_.Blocks_)
    Facts.Blocks_.push_back(Fact);
  for (const auto &[Key, Suspect] : S.Suspicion_.Suspects_)
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
    std::set<std::string> &Before = S.Suspicion_.ServedVersions_[Entry.first];
    Replaced = Replaced ||
               std::any_of(Before.begin(), Before.end(), [&](const auto &Old) {
                 return Served.count(Old) == 0;
               });
    Before = Served;
  }
  if (Replaced)
    S.Suspicion_.Cleared_ = {};
}

void tickSuspects(State &S, Effects &Out) {
  std::erase_if(S.Suspicion_.Suspects_, [&](const auto &Entry) {
    const Suspect &Suspect = Entry.second;
    const Millis Expiry = Suspect.Breaks_.size() < SuspectBreaks
                              ? SingleBreakExpiry
                              : SuspectExpiry;
    return S.Now_ - Suspect.LastBreakAt_ > Expiry && !isInBlock(S, Entry.first);
  });
  FactsMessage &Outbox = S.Suspicion_.FactsOutbox_;
  if (Outbox.Breaks_.empty() && Outbox.Cleared_.empty() &&
      Outbox.Blocks_.empty())
    return;
  gossipFacts(S, Outbox, "", Out);
  Outbox = {};
}

} // namespace endivewharf
