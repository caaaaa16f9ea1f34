// Whatever an upstream answers is cleared. What is not becomes a suspect when
// requests that carry it break at several upstreams; then such requests are
// tried one at a time (trials.h), and the trials decide.
#include "suspects.h"

#include "calls.h"
#include "controllog.h"
#include "diagnostics.h"
#include "dispatch.h"
#include "membership.h"
#include "requestkey.h"
#include "trials.h"

#include <algorithm>
#include <fmt/format.h>
#include <xxhash.h>

namespace endivewharf {

namespace {

constexpr std::size_t MaxClearedKeys = 16384;    // per kind and generation
constexpr std::size_t MaxSuspects = 512;         // per kind
constexpr std::size_t MaxBreaksPerSuspect = 12;  // upstream incarnations
constexpr std::size_t MaxBlocks = 256;           // per kind
constexpr std::size_t MaxLogRows = 64;           // breaks that wait for the log
constexpr std::size_t MaxWaitingLogRecords = 16; // before breaks wait
constexpr std::size_t MaxNameBytes = 64;
/// Upstreams at which something must have broken before further requests that
/// carry it need a trial. A call that has itself broken needs one at once.
constexpr std::size_t SuspectBreaks = 2;
constexpr Millis SingleBreakExpiry = 15000; // ms, of parts
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

RequestName requestName(const Call &C) {
  return {C.RequestKey_, C.Request_.Route_.substr(0, MaxNameBytes),
          C.Account_.substr(0, MaxNameBytes), C.SharedPartKeys_};
}

/// @return all that a call carries; the request is the last
std::vector<SuspectName> carriedNames(const Call &C) {
  std::vector<SuspectName> Names;
  for (std::size_t I = 0; I < C.SharedPartKeys_.size(); ++I)
    Names.emplace_back(partName(C.Request_, I));
  if (C.RequestKey_ != 0)
    Names.emplace_back(requestName(C));
  return Names;
}

bool isRequest(const SuspectName &Name) {
  return std::holds_alternative<RequestName>(Name);
}

/// Name of the kind in logs.
std::string_view kindName(const SuspectName &Name) {
  return isRequest(Name) ? "request" : "part";
}

struct NameText {
  std::string operator()(const PartName &Name) const { return Name.Id_; }
  std::string operator()(const RequestName &Name) const {
    return fmt::format("{}/{}/{:x}", Name.Route_, Name.Account_, Name.Key_);
  }
};

std::string namesText(const BlockFact &Fact) {
  std::string Text;
  for (const SuspectName &Name : Fact.Names_)
    Text += (Text.empty() ? "" : "+") + std::visit(NameText{}, Name);
  return Text;
}

bool isRequestBlock(const BlockFact &Fact) {
  return !Fact.Names_.empty() && isRequest(Fact.Names_.front());
}

bool hasKey(std::span<const std::uint64_t> Keys, std::uint64_t Key) {
  return std::find(Keys.begin(), Keys.end(), Key) != Keys.end();
}

bool carries(const Call &C, std::uint64_t Key) {
  return Key == C.RequestKey_ || hasKey(C.SharedPartKeys_, Key);
}

bool isNamed(const BlockFact &Fact, std::uint64_t Key) {
  return std::any_of(
      Fact.Names_.begin(), Fact.Names_.end(),
      [&](const SuspectName &Name) { return keyOf(Name) == Key; });
}

/// @return true if a call carries all names of a block in force
bool matches(const BlockFact &Fact, const Call &C) {
  return !Fact.Lifted_ && std::all_of(Fact.Names_.begin(), Fact.Names_.end(),
                                      [&](const SuspectName &Name) {
                                        return carries(C, keyOf(Name));
                                      });
}

const Block *findBlock(const State &S, const Call &C) {
  for (const auto &[Key, Known] : S.Suspicion_.Blocks_)
    if (matches(Known.Fact_, C))
      return &Known;
  return nullptr;
}

bool isInBlock(const State &S, std::uint64_t Key) {
  return std::any_of(S.Suspicion_.Blocks_.begin(), S.Suspicion_.Blocks_.end(),
                     [&](const auto &Entry) {
                       const BlockFact &Fact = Entry.second.Fact_;
                       return !Fact.Lifted_ && isNamed(Fact, Key);
                     });
}

/// @return true if a block is of one request whose prompt has the part
bool isOfRequestWith(const BlockFact &Fact, std::uint64_t PartKey) {
  if (Fact.Names_.size() != 1)
    return false;
  const auto *Request = std::get_if<RequestName>(&Fact.Names_.front());
  return Request != nullptr && hasKey(Request->PartKeys_, PartKey);
}

/// @return true if a block of something else accounts for the end of an
///   upstream. A blocked request does not clear the parts of its prompt.
bool isExplained(const State &S, std::uint64_t Key, std::uint32_t Upstream) {
  return std::any_of(S.Suspicion_.Blocks_.begin(), S.Suspicion_.Blocks_.end(),
                     [&](const auto &Entry) {
                       const BlockFact &Fact = Entry.second.Fact_;
                       const auto &Ended = Fact.UpstreamHashes_;
                       return !Fact.Lifted_ &&
                              std::find(Ended.begin(), Ended.end(), Upstream) !=
                                  Ended.end() &&
                              !isNamed(Fact, Key) &&
                              !isOfRequestWith(Fact, Key);
                     });
}

bool hasKey(const KeyGenerations &Keys, std::uint64_t Key) {
  return Keys[0].count(Key) > 0 || Keys[1].count(Key) > 0;
}

void rememberKey(KeyGenerations &Keys, std::uint64_t Key) {
  auto &[Newer, Older] = Keys;
  if (Newer.size() >= MaxClearedKeys) {
    Older = std::move(Newer);
    Newer.clear();
  }
  Newer.insert(Key);
}

int trialBreaks(const Suspect &Known) {
  std::size_t Count = 0;
  for (const auto &[Upstream, TrialIds] : Known.Breaks_)
    Count += TrialIds.size();
  return static_cast<int>(Count);
}

/// Decides whether the breaks of a suspect prove it, with no answer in between.
struct ProofCheck {
  const State &S_;
  const Suspect &Known_;

  /// A part is carried by many requests, so it is proved by the trials of
  /// several of them. A request that is blocked itself counts less.
  bool operator()(const PartName &) const {
    constexpr std::size_t MinUpstreams = 2;
    constexpr std::size_t MinRequests = 2;
    constexpr int MinTrials = 3;
    constexpr int MaxTrialsOfRequest = 2;
    std::map<std::uint64_t, int> TrialsByRequest;
    for (const auto &[Upstream, Trials] : Known_.Breaks_)
      for (const auto &[TrialId, Request] : Trials)
        ++TrialsByRequest[Request];
    int Trials = 0;
    for (const auto &[Request, Count] : TrialsByRequest)
      Trials +=
          std::min(Count, isBlockedAlone(S_, Request) ? 1 : MaxTrialsOfRequest);
    return Known_.Breaks_.size() >= MinUpstreams &&
           TrialsByRequest.size() >= MinRequests && Trials >= MinTrials;
  }

  bool operator()(const RequestName &) const {
    constexpr std::size_t MinUpstreams = 4;
    constexpr int MinTrials = 2;
    return Known_.Breaks_.size() >= MinUpstreams &&
           trialBreaks(Known_) >= MinTrials;
  }
};

bool isProved(const State &S, const Suspect &Known) {
  return std::visit(ProofCheck{S, Known}, Known.Name_);
}

/// Makes room for a new suspect if there are too many of its kind: drops the
/// one with the fewest breaks, the oldest of these first. What is in a block
/// stays.
void makeRoomFor(State &S, const SuspectName &New) {
  auto &Suspects = S.Suspicion_.Suspects_;
  std::size_t Count = 0;
  auto Weakest = Suspects.end();
  const auto Strength = [](const Suspect &Known) {
    return std::pair(Known.Breaks_.size(), Known.LastBreakAt_);
  };
  for (auto It = Suspects.begin(); It != Suspects.end(); ++It) {
    if (It->second.Name_.index() != New.index())
      continue;
    ++Count;
    if (!isInBlock(S, It->first) &&
        (Weakest == Suspects.end() ||
         Strength(It->second) < Strength(Weakest->second)))
      Weakest = It;
  }
  if (Count >= MaxSuspects && Weakest != Suspects.end())
    Suspects.erase(Weakest);
}

std::size_t blockCount(const State &S, const BlockFact &OfKind) {
  return static_cast<std::size_t>(std::count_if(
      S.Suspicion_.Blocks_.begin(), S.Suspicion_.Blocks_.end(),
      [&](const auto &Entry) {
        return isRequestBlock(Entry.second.Fact_) == isRequestBlock(OfKind);
      }));
}

CallError blockedError(const State &S, const Block &Known) {
  const bool OfRequest = isRequestBlock(Known.Fact_);
  // The same request would be refused again, so no time to return is given.
  return {
      OfRequest ? ErrorKind::RequestBlocked : ErrorKind::PartBlocked,
      RunState::NotRun,
      fmt::format("the {} ends upstreams: {}; {} have ended",
                  OfRequest ? "request" : "prompt has a part that",
                  namesText(Known.Fact_), Known.Fact_.UpstreamHashes_.size()),
      0, fmt::format("{}, {} ms ago", Known.Source_, S.Now_ - Known.LearntAt_)};
}

/// Refuses the calls that a new block concerns. An attempt that has not begun
/// its answer is cancelled, so that its upstream does not end.
void refuseBlockedCalls(State &S, const Block &Known, CallId Except,
                        Effects &Out) {
  std::vector<CallId> Ids;
  for (const auto &[Id, C] : S.Calls_) {
    const auto Running = S.Attempts_.find(C.Attempt_);
    const bool Begun =
        Running != S.Attempts_.end() && Running->second.FirstTokenAt_ != 0;
    if (Id != Except && !Begun && matches(Known.Fact_, C))
      Ids.push_back(Id);
  }
  std::sort(Ids.begin(), Ids.end());
  for (const CallId Id : Ids) {
    Call &C = S.Calls_.at(Id);
    CallError Error = blockedError(S, Known);
    Error.RunState_ = runStateOf(S, C);
    if (Error.RunState_ != RunState::NotRun)
      Error.Kind_ = ErrorKind::UpstreamFailed;
    refuseCall(S, C, std::move(Error), Out);
  }
}

/// Drops the breaks that a block of something else explains.
void dropExplainedBreaks(State &S) {
  for (auto &[SuspectKey, Known] : S.Suspicion_.Suspects_) {
    const std::uint64_t Key = SuspectKey;
    std::erase_if(Known.Breaks_, [&](const auto &Break) {
      return isExplained(S, Key, Break.first);
    });
  }
  std::erase_if(S.Suspicion_.Suspects_,
                [](const auto &Entry) { return Entry.second.Breaks_.empty(); });
}

/// Puts a block into force, or lifts it.
/// @param Except call that is not refused here
/// @param Source `own` if this process has found it and makes it durable
void applyBlock(State &S, const BlockFact &Fact, CallId Except,
                std::string_view Source, Effects &Out) {
  constexpr std::string_view Own = "own";
  auto &Blocks = S.Suspicion_.Blocks_;
  const std::uint64_t Key = blockKey(Fact);
  const auto Found = Blocks.find(Key);
  if (Found != Blocks.end() && (Found->second.Fact_.Lifted_ || !Fact.Lifted_))
    return;
  const std::string Kind(kindName(Fact.Names_.front()));
  if (Found == Blocks.end() && blockCount(S, Fact) >= MaxBlocks) {
    // Suspects go on to be tried one at a time.
    logWarning(Out, Kind + "_blocks_full", {{"names", namesText(Fact)}});
    return;
  }
  const Block &Known = Blocks[Key] = {Fact, std::string(Source), S.Now_};
  S.Suspicion_.FactsOutbox_.Blocks_.push_back(Fact);
  if (Source == Own)
    queueLogRecord(S, BlockRecord{Fact});
  incrementCounter(S, Fact.Lifted_ ? "blocks_lifted" : "blocks");
  recordDecision(S, namesText(Fact),
                 Kind + (Fact.Lifted_ ? " unblocked" : " blocked"));
  logWarning(Out, Kind + (Fact.Lifted_ ? "_unblocked" : "_blocked"),
             {{"names", namesText(Fact)},
              {"ended", std::to_string(Fact.UpstreamHashes_.size())},
              {"source", std::string(Source)}});
  if (Fact.Lifted_)
    return;
  dropExplainedBreaks(S);
  refuseBlockedCalls(S, Known, Except, Out);
}

/// @return true if another suspect was present at all of these ends, so it may
///   be the cause
bool hasOtherSuspect(const State &S, std::span<const std::uint64_t> Keys,
                     const std::set<std::uint32_t> &Ended) {
  return std::any_of(S.Suspicion_.Suspects_.begin(),
                     S.Suspicion_.Suspects_.end(), [&](const auto &Entry) {
                       const auto &Breaks = Entry.second.Breaks_;
                       return !hasKey(Keys, Entry.first) &&
                              std::all_of(Ended.begin(), Ended.end(),
                                          [&](std::uint32_t Upstream) {
                                            return Breaks.count(Upstream) > 0;
                                          });
                     });
}

/// Blocks those of one kind that are proved. Parts that cannot be told apart
/// are blocked together, so that a prompt with only some of them is tried.
/// @param Keys all that the request carries
/// @return true if they are blocked now
bool blockProvedOfKind(State &S, std::span<const std::uint64_t> Keys,
                       bool Requests, CallId Except, Effects &Out) {
  BlockFact Fact;
  std::set<std::uint32_t> Ended;
  for (const std::uint64_t Key : Keys) {
    const auto Found = S.Suspicion_.Suspects_.find(Key);
    if (Found == S.Suspicion_.Suspects_.end() || isBlockedAlone(S, Key) ||
        isRequest(Found->second.Name_) != Requests ||
        !isProved(S, Found->second))
      continue;
    Fact.Names_.push_back(Found->second.Name_);
    for (const auto &[Upstream, TrialIds] : Found->second.Breaks_)
      Ended.insert(Upstream);
  }
  if (Fact.Names_.empty() || hasOtherSuspect(S, Keys, Ended))
    return false;
  Fact.UpstreamHashes_.assign(Ended.begin(), Ended.end());
  applyBlock(S, Fact, Except, "own", Out);
  return true;
}

/// Blocks what is proved among all that a request carries: the request rather
/// than its parts, which sound requests may share.
void blockIfProved(State &S, std::span<const std::uint64_t> Keys, CallId Except,
                   Effects &Out) {
  if (!blockProvedOfKind(S, Keys, true, Except, Out))
    blockProvedOfKind(S, Keys, false, Except, Out);
}

/// Lifts the blocks that name a key; what they named besides may be blocked
/// without it.
/// @param Found true if an upstream has answered here
void liftBlocksWith(State &S, std::uint64_t Key, bool Found,
                    std::string_view Source, Effects &Out) {
  std::vector<BlockFact> Lifted;
  for (const auto &[BlockKey, Known] : S.Suspicion_.Blocks_)
    if (!Known.Fact_.Lifted_ && isNamed(Known.Fact_, Key))
      Lifted.push_back(Known.Fact_);
  for (BlockFact &Fact : Lifted) {
    Fact.Lifted_ = true;
    applyBlock(S, Fact, 0, Source, Out);
    std::vector<std::uint64_t> Others;
    for (const SuspectName &Name : Fact.Names_)
      if (keyOf(Name) != Key)
        Others.push_back(keyOf(Name));
    if (Found)
      blockIfProved(S, Others, 0, Out);
  }
}

/// Ends a suspicion and lifts the blocks that contain it.
/// @param Source `own` if an upstream has answered here, or the peer's name
void clearKey(State &S, std::uint64_t Key, std::string_view Source,
              Effects &Out) {
  const bool Found = Source == "own";
  S.Suspicion_.Trials_.erase(Key);
  const auto Known = S.Suspicion_.Suspects_.find(Key);
  if (Known == S.Suspicion_.Suspects_.end() && !isInBlock(S, Key))
    return;
  S.Suspicion_.FactsOutbox_.Cleared_.push_back({Key});
  if (Known != S.Suspicion_.Suspects_.end()) {
    logEvent(Out, std::string(kindName(Known->second.Name_)) + "_cleared",
             {{"name", std::visit(NameText{}, Known->second.Name_)},
              {"breaks", std::to_string(Known->second.Breaks_.size())},
              {"source", std::string(Source)}});
    S.Suspicion_.Suspects_.erase(Known);
  }
  liftBlocksWith(S, Key, Found, Source, Out);
}

/// Clears a key that a peer has cleared. One that is not known here as a part
/// is kept among the requests.
void mergeCleared(State &S, const ClearedRow &Row, const std::string &From,
                  Effects &Out) {
  const auto Known = S.Suspicion_.Suspects_.find(Row.Key_);
  const bool IsPart =
      Known != S.Suspicion_.Suspects_.end() && !isRequest(Known->second.Name_);
  rememberKey(IsPart ? S.Suspicion_.ClearedParts_
                     : S.Suspicion_.ClearedRequests_,
              Row.Key_);
  clearKey(S, Row.Key_, From, Out);
}

void addBreakRows(const Suspect &Known, std::vector<BreakRow> &Rows) {
  for (const auto &[Upstream, Trials] : Known.Breaks_) {
    if (Trials.empty())
      Rows.push_back({Known.Name_, Upstream, 0, 0});
    for (const auto &[TrialId, Request] : Trials)
      Rows.push_back({Known.Name_, Upstream, TrialId, Request});
  }
}

/// Gossips a new break. A single break of a whole request concerns only those
/// who permit its trials: most requests that break in a wave never come again.
void gossipBreak(State &S, const Suspect &Known, const BreakRow &Row,
                 bool NewUpstream) {
  std::vector<BreakRow> &Rows = S.Suspicion_.FactsOutbox_.Breaks_;
  const std::size_t Count = Known.Breaks_.size();
  if (!isRequest(Known.Name_) || Row.TrialId_ != 0 || Count > SuspectBreaks)
    Rows.push_back(Row);
  else if (Count == SuspectBreaks && NewUpstream)
    addBreakRows(Known, Rows);
}

/// Makes what this process has found of a suspect known to those whom peers do
/// not reach.
void logBreaks(State &S, const Suspect &Known, const BreakRow &Row) {
  std::vector<BreakRow> &Rows = S.Suspicion_.LogOutbox_;
  if (Row.TrialId_ != 0)
    Rows.push_back(Row);
  else if (Known.Breaks_.size() == SuspectBreaks)
    addBreakRows(Known, Rows);
  if (Rows.size() > MaxLogRows)
    Rows.erase(Rows.begin(),
               Rows.end() - static_cast<std::ptrdiff_t>(MaxLogRows));
}

/// Tells the owner of a call's trial that it broke.
void endTrialOf(State &S, Call &C, std::span<const SuspectName> Names,
                std::uint32_t Upstream, std::uint32_t TrialId) {
  const auto Tried =
      std::find_if(Names.begin(), Names.end(), [&](const SuspectName &Name) {
        return keyOf(Name) == C.TrialKey_;
      });
  if (Tried != Names.end())
    endBrokenTrial(S, C, *Tried, Upstream, TrialId);
  else
    endTrial(S, C);
}

std::uint32_t newTrialId(State &S) {
  return std::max<std::uint32_t>(1, static_cast<std::uint32_t>(nextRandom(S)));
}

/// Merges a break that this process has seen and passes it on.
/// @return true if it concerns a suspect
bool recordOwnBreak(State &S, const BreakRow &Row, Effects &Out) {
  const bool New = mergeBreak(S, Row, Out);
  const auto Found = S.Suspicion_.Suspects_.find(keyOf(Row.Name_));
  if (Found == S.Suspicion_.Suspects_.end())
    return false;
  const Suspect &Known = Found->second;
  if (New && isRequest(Row.Name_)) {
    if (Known.Breaks_.size() < SuspectBreaks)
      reportBreak(S, Row);
    else
      logBreaks(S, Known, Row);
  }
  return Known.Breaks_.size() >= SuspectBreaks;
}

} // namespace

std::vector<std::uint64_t> sharedPartKeys(const CallRequest &Request) {
  std::vector<std::uint64_t> Keys;
  for (std::size_t I = 0; I + 1 < Request.PromptParts_.size(); ++I)
    Keys.push_back(partKey(Request.Model_, Request.PromptParts_[I].Id_));
  return Keys;
}

void fillSuspectKeys(Call &C) {
  C.SharedPartKeys_ = sharedPartKeys(C.Request_);
  C.RequestKey_ = requestKey(C.Request_, C.Account_.empty() ? C.Request_.ApiKey_
                                                            : C.Account_);
}

std::uint64_t blockKey(const BlockFact &Fact) {
  std::vector<std::uint64_t> Keys;
  for (const SuspectName &Name : Fact.Names_)
    Keys.push_back(keyOf(Name));
  std::sort(Keys.begin(), Keys.end());
  return XXH3_64bits_withSeed(Keys.data(), Keys.size() * sizeof(Keys[0]),
                              BlockKeySeed);
}

bool isBlockedAlone(const State &S, std::uint64_t Key) {
  BlockFact Alone;
  Alone.Names_.emplace_back(PartName{Key, "", ""});
  const auto Found = S.Suspicion_.Blocks_.find(blockKey(Alone));
  return Found != S.Suspicion_.Blocks_.end() && !Found->second.Fact_.Lifted_;
}

bool isCleared(const State &S, std::uint64_t Key) {
  return hasKey(S.Suspicion_.ClearedParts_, Key) ||
         hasKey(S.Suspicion_.ClearedRequests_, Key);
}

std::optional<CallError> checkBlocked(State &S, const Call &C) {
  const Block *Known = findBlock(S, C);
  if (Known == nullptr)
    return std::nullopt;
  incrementCounter(S, isRequestBlock(Known->Fact_) ? "refused_blocked_request"
                                                   : "refused_blocked_part");
  return blockedError(S, *Known);
}

std::uint64_t suspectKeyOf(const State &S, const Call &C) {
  if (S.Suspicion_.Suspects_.empty())
    return 0;
  std::uint64_t Strongest = 0;
  std::size_t MostBreaks = C.BrokenBeforeAnswer_ ? 0 : SuspectBreaks - 1;
  const auto Consider = [&](std::uint64_t Key) {
    const auto Found = S.Suspicion_.Suspects_.find(Key);
    if (Found == S.Suspicion_.Suspects_.end() ||
        Found->second.Breaks_.size() <= MostBreaks)
      return;
    MostBreaks = Found->second.Breaks_.size();
    Strongest = Key;
  };
  for (const std::uint64_t Key : C.SharedPartKeys_)
    Consider(Key);
  Consider(C.RequestKey_);
  return Strongest;
}

void recordAnswerBegun(State &S, Call &C, Effects &Out) {
  for (const std::uint64_t Key : C.SharedPartKeys_) {
    rememberKey(S.Suspicion_.ClearedParts_, Key);
    clearKey(S, Key, "own", Out);
  }
  if (C.TrialKey_ != C.RequestKey_)
    endTrial(S, C);
}

void recordAnswerComplete(State &S, Call &C, Effects &Out) {
  if (C.RequestKey_ != 0) {
    rememberKey(S.Suspicion_.ClearedRequests_, C.RequestKey_);
    clearKey(S, C.RequestKey_, "own", Out);
  }
  endTrial(S, C);
}

bool mergeBreak(State &S, const BreakRow &Row, Effects &Out) {
  auto &Suspects = S.Suspicion_.Suspects_;
  const std::uint64_t Key = keyOf(Row.Name_);
  if (isCleared(S, Key) || isExplained(S, Key, Row.UpstreamHash_))
    return false;
  if (Suspects.count(Key) == 0)
    makeRoomFor(S, Row.Name_);
  Suspect &Known = Suspects[Key];
  const bool NewUpstream = Known.Breaks_.count(Row.UpstreamHash_) == 0;
  const bool Full = Known.Breaks_.size() >= MaxBreaksPerSuspect ||
                    trialBreaks(Known) >= static_cast<int>(MaxBreaksPerSuspect);
  if (Full || (!NewUpstream && Row.TrialId_ == 0))
    return false;
  auto &Trials = Known.Breaks_[Row.UpstreamHash_];
  if (Row.TrialId_ != 0 &&
      !Trials.emplace(Row.TrialId_, Row.RequestKey_).second)
    return false;
  Known.Name_ = Row.Name_;
  Known.LastBreakAt_ = S.Now_;
  gossipBreak(S, Known, Row, NewUpstream);
  const bool News = Row.TrialId_ != 0 || Known.Breaks_.size() == SuspectBreaks;
  if (News && !isInBlock(S, Key))
    logWarning(Out, std::string(kindName(Row.Name_)) + "_suspected",
               {{"name", std::visit(NameText{}, Row.Name_)},
                {"breaks", std::to_string(Known.Breaks_.size())},
                {"trial_breaks", std::to_string(trialBreaks(Known))}});
  return true;
}

bool recordBreak(State &S, Call &C, const Attempt &A, AttemptFailure Failure,
                 Effects &Out) {
  // A peer to which the request was passed judges what it sees itself.
  if (Failure != AttemptFailure::ConnectionBroken ||
      S.Upstreams_[A.Upstream_].IsPeer_)
    return false;
  const bool Begun = A.FirstTokenAt_ != 0;
  C.BrokenBeforeAnswer_ = C.BrokenBeforeAnswer_ || !Begun;
  const std::uint32_t Upstream =
      instanceHash(S.Upstreams_[A.Upstream_].Row_.Host_);
  const std::uint32_t TrialId = C.TrialKey_ == 0 ? 0 : newTrialId(S);
  const std::vector<SuspectName> Names = carriedNames(C);
  std::vector<std::uint64_t> Keys;
  bool Suspected = findBlock(S, C) != nullptr;
  for (const SuspectName &Name : Names) {
    Keys.push_back(keyOf(Name));
    if (!Begun || isRequest(Name))
      Suspected =
          recordOwnBreak(S, {Name, Upstream, TrialId, C.RequestKey_}, Out) ||
          Suspected;
  }
  if (TrialId != 0) {
    blockIfProved(S, Keys, C.Id_, Out);
    endTrialOf(S, C, Names, Upstream, TrialId);
  }
  return Suspected;
}

void mergeBreaksRecord(State &S, const BreaksRecord &Record, Effects &Out) {
  // A record may state any time, so only our own is computed with.
  if (Record.UnixMs_ < S.UnixMs_ - SuspectExpiry)
    return;
  for (const BreakRow &Row : Record.Rows_)
    mergeBreak(S, Row, Out);
}

void mergeSuspectFacts(State &S, const std::string &From,
                       const FactsMessage &Facts, Effects &Out) {
  for (const BlockFact &Fact : Facts.Blocks_)
    mergeBlock(S, Fact, From, Out);
  FactsMessage Reply;
  for (const BreakRow &Row : Facts.Breaks_) {
    mergeBreak(S, Row, Out);
    if (isCleared(S, keyOf(Row.Name_)))
      Reply.Cleared_.push_back({keyOf(Row.Name_)});
  }
  for (const ClearedRow &Row : Facts.Cleared_)
    mergeCleared(S, Row, From, Out);
  if (!Reply.Cleared_.empty())
    Out.push_back(SendToPeer{From, std::move(Reply)});
}

void mergeBlock(State &S, const BlockFact &Fact, std::string_view Source,
                Effects &Out) {
  if (!Fact.Names_.empty())
    applyBlock(S, Fact, 0, Source, Out);
}

void addSuspectFacts(const State &S, FactsMessage &Facts) {
  for (const auto &[Key, Known] : S.Suspicion_.Blocks_)
    Facts.Blocks_.push_back(Known.Fact_);
  for (const auto &[Key, Known] : S.Suspicion_.Suspects_)
    if (Known.Breaks_.size() >= SuspectBreaks)
      addBreakRows(Known, Facts.Breaks_);
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
  if (!Replaced)
    return;
  S.Suspicion_.ClearedParts_ = {};
  S.Suspicion_.ClearedRequests_ = {};
}

namespace {

void queueBreaks(State &S) {
  std::vector<BreakRow> &Rows = S.Suspicion_.LogOutbox_;
  if (Rows.empty() || S.Log_.Outbox_.size() >= MaxWaitingLogRecords)
    return;
  queueLogRecord(S, BreaksRecord{S.Self_.Name_, S.UnixMs_, std::move(Rows)});
  Rows.clear();
}

} // namespace

void tickSuspects(State &S, Effects &Out) {
  std::erase_if(S.Suspicion_.Suspects_, [&](const auto &Entry) {
    const Suspect &Known = Entry.second;
    const bool IsSinglePart =
        Known.Breaks_.size() < SuspectBreaks && !isRequest(Known.Name_);
    const Millis Expiry = IsSinglePart ? SingleBreakExpiry : SuspectExpiry;
    return S.Now_ - Known.LastBreakAt_ > Expiry && !isInBlock(S, Entry.first);
  });
  queueBreaks(S);
  FactsMessage &Outbox = S.Suspicion_.FactsOutbox_;
  if (Outbox.Breaks_.empty() && Outbox.Cleared_.empty() &&
      Outbox.Blocks_.empty())
    return;
  gossipFacts(S, Outbox, "", Out);
  Outbox = {};
}

} // namespace endivewharf
