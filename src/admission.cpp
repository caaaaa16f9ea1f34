// Rate limits, admission checks, weighted fair queues and retry budgets.
#include "admission.h"

#include "fleet.h"
#include "membership.h"
#include "router.h"

#include <algorithm>
#include <fmt/format.h>

namespace endivewharf {

namespace {

constexpr double RateBurstSeconds = 2; // s of an account's rate
constexpr int InteractivePerBatch = 9; // interactive calls per batch call
constexpr double RetriesPerAcceptedCall = 0.1; // retries
constexpr double MaxRetryBudget = 20;          // retries
// Minimum rate of batch calls, whatever the capacity.
constexpr double MinBatchPerSecond = 0.5; // calls per second
// Factor on an expected answer time, since waits vary.
constexpr double ExpectedTimeMargin = 1.3;
// Weight of a new answer in the moving average of answer times.
constexpr double ServiceTimeWeight = 0.1;
constexpr Millis DrainRateWindow = 1000;  // ms over which answers are counted
constexpr double MinDrainPerSecond = 1;   // calls per second
constexpr Millis MinRetryAfter = 200;     // ms
constexpr Millis MaxRetryAfter = 30000;   // ms
constexpr double TokensPerWorkUnit = 256; // tokens
constexpr double BytesPerToken = 4;       // bytes
// Fraction of the configured retry bound that the processes use together,
// since load and retries are distributed unevenly between them.
constexpr double RetryBudgetMargin = 0.7;
// Longest wait of a routed call as a fraction of its latency objective.
constexpr double MaxQueueWaitFraction = 0.25;
constexpr Millis MinQueueWaitBound = 50; // ms, about one tick
// Waiting calls up to which a routed call is accepted without an estimate.
constexpr int UncheckedQueueLength = 4;

std::size_t priorityIndex(Priority Value) {
  return static_cast<std::size_t>(Value);
}

/// Estimated work of a call; one unit is about one short answer.
double workUnits(const Call &C) {
  if (!C.ServiceQueue_.empty())
    return 1 + static_cast<double>(C.Request_.PromptTokens_ +
                                   C.Request_.MaxTokens_) /
                   TokensPerWorkUnit;
  const double Tokens =
      static_cast<double>(C.Request_.Prompt_.size()) / BytesPerToken +
      static_cast<double>(C.Request_.MaxTokens_);
  return 1 + Tokens / TokensPerWorkUnit;
}

/// Refills an account's rate limit bucket up to now; a new bucket starts full.
void refillRateBucket(AccountState &Bucket, const Account &A, Millis Now) {
  const double Capacity = std::max(1.0, A.RatePerSecond_ * RateBurstSeconds);
  const double Elapsed = static_cast<double>(Now - Bucket.RefilledAt_) / 1000;
  Bucket.RateTokens_ =
      Bucket.RateTokens_ < 0
          ? Capacity
          : std::min(Capacity, Bucket.RateTokens_ + Elapsed * A.RatePerSecond_);
  Bucket.RefilledAt_ = Now;
}

/// @return the service queue of that name, or an empty one if there is none
const ServiceQueueState &serviceQueueOf(const State &S,
                                        const std::string &QueueName) {
  static const ServiceQueueState Empty;
  const auto Found = S.Admission_.ServiceQueues_.find(QueueName);
  return Found == S.Admission_.ServiceQueues_.end() ? Empty : Found->second;
}

int totalWaiting(const ServiceQueueState &Queue) {
  return Queue.WaitingCalls_[0] + Queue.WaitingCalls_[1];
}

/// Answered calls per second of a service queue, at least MinDrainPerSecond.
double drainRatePerSecond(const ServiceQueueState &Queue,
                          Priority CallPriority) {
  return std::max(MinDrainPerSecond,
                  Queue.AnswersPerSecond_[priorityIndex(CallPriority)]);
}

/// Expected time in ms until the waiting calls of a priority are answered.
Millis drainTime(const ServiceQueueState &Queue, Priority CallPriority) {
  return static_cast<Millis>(Queue.WaitingCalls_[priorityIndex(CallPriority)] *
                             1000 / drainRatePerSecond(Queue, CallPriority));
}

bool hasWaitingCalls(const AccountState &Account) {
  return !Account.Queues_[0].empty() || !Account.Queues_[1].empty();
}

/// Fraction of the capacity that an account is entitled to, by its weight among
/// the accounts with waiting calls.
double fairFraction(const State &S, const Account &A) {
  double TotalWeight = A.Weight_;
  for (const auto &[Key, Other] : S.Config_.Configuration_.AccountsByKey_) {
    const auto Found = S.Admission_.Accounts_.find(Other.Name_);
    if (Other.Name_ != A.Name_ && Found != S.Admission_.Accounts_.end() &&
        hasWaitingCalls(Found->second))
      TotalWeight += Other.Weight_;
  }
  return A.Weight_ / TotalWeight;
}

/// Estimates how many calls are served before the next call of an account: the
/// account's own waiting calls and, for every other account, the calls that its
/// weight entitles it to meanwhile, but at most twice its waiting calls. The
/// factor of two allows for calls that arrive later.
double callsServedBefore(const State &S, const Account &A,
                         Priority CallPriority) {
  const auto QueueLength = [&](const std::string &Name) {
    const auto Found = S.Admission_.Accounts_.find(Name);
    return Found == S.Admission_.Accounts_.end()
               ? 0.0
               : static_cast<double>(
                     Found->second.Queues_[priorityIndex(CallPriority)].size());
  };
  const double Own = QueueLength(A.Name_);
  double Total = Own;
  for (const auto &[Key, Other] : S.Config_.Configuration_.AccountsByKey_)
    if (Other.Name_ != A.Name_)
      Total += std::min(2 * QueueLength(Other.Name_),
                        Own * Other.Weight_ / A.Weight_);
  return Total;
}

/// Prefill backlogs in ms of a service's usable upstreams.
std::vector<double> backlogsMs(const State &S, const std::string &Service) {
  std::vector<double> Backlogs;
  for (const Upstream &U : S.Upstreams_)
    if (U.Row_.Service_ == Service && !U.IsPeer_ && isUsable(S, U))
      Backlogs.push_back(prefillBacklogMs(U));
  return Backlogs;
}

/// When a caller may come back, by the waiting calls of this process. A routed
/// call has to return before its deadline.
ReturnWindow queueReturnWindow(const State &S, const Call &C) {
  const Millis Drain =
      drainTime(serviceQueueOf(S, C.ServiceQueue_), C.Request_.Priority_);
  const Millis From = Drain + MinRetryAfter;
  const Millis Spread = std::max(Drain, MinRetryAfter);
  if (C.ServiceQueue_.empty())
    return {From, From + Spread};
  return fittingWindow(static_cast<double>(From), static_cast<double>(Spread),
                       C.Deadline_ - S.Now_);
}

/// When the caller of a refused prompt may come back, by the room that is
/// expected at the upstreams. Counts the refusal: requests arrive evenly, so
/// the other processes refuse about as much.
ReturnWindow promptReturnWindow(State &S, const Call &C) {
  RefusedWork &Refused = S.Returns_.Services_[C.ServiceQueue_];
  recordRefusal(Refused, sharedPrefixPrefillMs(S, C), S.Now_);
  const std::vector<double> Backlogs = backlogsMs(S, C.ServiceQueue_);
  return returnWindow(
      {Backlogs, maxBacklogMs(C), requestedWork(S, C.ServiceQueue_),
       Refused.PrefillMs_ * static_cast<double>(estimatedClusterSize(S)),
       C.Deadline_ - S.Now_});
}

/// @return true if no upstream can take a prompt within the time that it may
///   wait
bool isRoomTooLate(const State &S, const Call &C) {
  return !C.PrefixHashes_.empty() &&
         timeUntilRoomMs(backlogsMs(S, C.ServiceQueue_), maxBacklogMs(C)) >
             static_cast<double>(maxQueueWait(C));
}

/// Expected time in ms until the next call of an account would be answered,
/// with a margin.
Millis expectedAnswerTime(const State &S, const Call &C, const Account &A) {
  const Priority CallPriority = C.Request_.Priority_;
  const ServiceQueueState &Queue = serviceQueueOf(S, C.ServiceQueue_);
  const double WaitMs = callsServedBefore(S, A, CallPriority) * 1000 /
                        drainRatePerSecond(Queue, CallPriority);
  const double ServiceMs = Queue.AnswerMs_[priorityIndex(CallPriority)];
  return static_cast<Millis>((WaitMs + ServiceMs) * ExpectedTimeMargin);
}

} // namespace

std::string accountQueueKey(const Call &C) {
  return C.ServiceQueue_.empty()
             ? C.Account_
             : fmt::format("{}|{}", C.ServiceQueue_, C.Account_);
}

Millis maxQueueWait(const Call &C) {
  return std::max(MinQueueWaitBound,
                  static_cast<Millis>(static_cast<double>(C.LatencyObjective_) *
                                      MaxQueueWaitFraction));
}

Millis retryAfter(State &S, const Call &C) {
  const ReturnWindow Window = C.PrefixHashes_.empty() || C.ServiceQueue_.empty()
                                  ? queueReturnWindow(S, C)
                                  : promptReturnWindow(S, C);
  const Millis MaxJitter = std::max<Millis>(1, Window.Until_ - Window.From_);
  const Millis Jitter = static_cast<Millis>(
      nextRandom(S) % static_cast<std::uint64_t>(MaxJitter));
  return std::clamp<Millis>(Window.From_ + Jitter, 1, MaxRetryAfter);
}

std::optional<CallError> checkAdmission(State &S, const Call &C,
                                        const Account &A) {
  AccountState &Account = S.Admission_.Accounts_[A.Name_];
  refillRateBucket(Account, A, S.Now_);
  if (Account.RateTokens_ < 1) {
    const double SecondsToRefill = (1 - Account.RateTokens_) / A.RatePerSecond_;
    return CallError{ErrorKind::OverLimit, RunState::NotRun,
                     "the account's request rate is used up",
                     static_cast<Millis>(SecondsToRefill * 1000) +
                         MinRetryAfter};
  }
  if (Account.InFlight_ >= A.MaxInFlight_)
    return CallError{ErrorKind::OverLimit, RunState::NotRun,
                     "the account has too many requests in flight",
                     retryAfter(S, C)};
  const int Waiting = totalWaiting(serviceQueueOf(S, C.ServiceQueue_));
  const double OwnWaiting = static_cast<double>(Account.Queues_[0].size() +
                                                Account.Queues_[1].size());
  const int MaxLength = S.Settings_.Limits_.MaxQueueLength_;
  if (Waiting >= MaxLength && OwnWaiting >= MaxLength * fairFraction(S, A))
    return CallError{ErrorKind::Overloaded, RunState::NotRun,
                     "the queue is full", retryAfter(S, C)};
  if (S.Now_ + expectedAnswerTime(S, C, A) > C.Deadline_)
    return CallError{ErrorKind::Overloaded, RunState::NotRun,
                     "the queue is longer than the request's time limit",
                     retryAfter(S, C)};
  Account.RateTokens_ -= 1;
  ServiceQueueState &Queue = S.Admission_.ServiceQueues_[C.ServiceQueue_];
  Queue.RetryBudget_ =
      std::min(MaxRetryBudget, Queue.RetryBudget_ + RetriesPerAcceptedCall);
  return std::nullopt;
}

std::optional<CallError> checkQueueWait(State &S, const Call &C) {
  const auto Found = S.Admission_.ServiceQueues_.find(C.ServiceQueue_);
  const BoundSettings &Bounds = S.Settings_.Bounds_;
  // The configured slack of retries is divided equally between the processes.
  const double MaxBudget =
      std::max(1.0, Bounds.RetrySlack_ * RetryBudgetMargin /
                        static_cast<double>(estimatedClusterSize(S)));
  if (Found == S.Admission_.ServiceQueues_.end())
    S.Admission_.ServiceQueues_[C.ServiceQueue_].RetryBudget_ = MaxBudget;
  ServiceQueueState &Queue = S.Admission_.ServiceQueues_[C.ServiceQueue_];
  Queue.RetryBudget_ = std::min(
      MaxBudget, Queue.RetryBudget_ + Bounds.RetryShare_ * RetryBudgetMargin);
  if (isRoomTooLate(S, C))
    return CallError{ErrorKind::Overloaded, RunState::NotRun,
                     "no upstream will have room for as long as it may wait",
                     retryAfter(S, C)};
  const Millis ExpectedWait = drainTime(Queue, C.Request_.Priority_);
  if (totalWaiting(Queue) > UncheckedQueueLength &&
      ExpectedWait > maxQueueWait(C))
    return CallError{ErrorKind::Overloaded, RunState::NotRun,
                     "the queue is longer than the request may wait",
                     retryAfter(S, C)};
  return std::nullopt;
}

void enqueueCall(State &S, const Call &C, bool Front) {
  AccountState &Account = S.Admission_.Accounts_[accountQueueKey(C)];
  Account.ServiceQueue_ = C.ServiceQueue_;
  auto &Queue = Account.Queues_[priorityIndex(C.Request_.Priority_)];
  if (!hasWaitingCalls(Account)) {
    // An account that was idle starts with the weighted work of the least
    // served account that waits, so that idle time earns it no priority.
    double Least = -1;
    for (const auto &[Name, Other] : S.Admission_.Accounts_)
      if (hasWaitingCalls(Other) && Other.ServiceQueue_ == C.ServiceQueue_)
        Least = Least < 0 ? Other.WeightedWork_
                          : std::min(Least, Other.WeightedWork_);
    Account.WeightedWork_ = std::max(Account.WeightedWork_, Least);
  }
  if (Front)
    Queue.push_front(C.Id_);
  else
    Queue.push_back(C.Id_);
  ++S.Admission_.ServiceQueues_[C.ServiceQueue_]
        .WaitingCalls_[priorityIndex(C.Request_.Priority_)];
}

void dequeueCall(State &S, const Call &C) {
  const std::size_t Index = priorityIndex(C.Request_.Priority_);
  auto &Queue = S.Admission_.Accounts_[accountQueueKey(C)].Queues_[Index];
  const auto Found = std::find(Queue.begin(), Queue.end(), C.Id_);
  if (Found == Queue.end())
    return;
  Queue.erase(Found);
  --S.Admission_.ServiceQueues_[C.ServiceQueue_].WaitingCalls_[Index];
}

std::vector<std::string> queuesLeastServedFirst(const State &S,
                                                const std::string &QueueName,
                                                Priority CallPriority) {
  std::vector<std::string> Names;
  for (const auto &[Name, Account] : S.Admission_.Accounts_)
    if (Account.ServiceQueue_ == QueueName &&
        !Account.Queues_[priorityIndex(CallPriority)].empty())
      Names.push_back(Name);
  std::stable_sort(Names.begin(), Names.end(),
                   [&](const auto &A, const auto &B) {
                     return S.Admission_.Accounts_.at(A).WeightedWork_ <
                            S.Admission_.Accounts_.at(B).WeightedWork_;
                   });
  return Names;
}

Priority nextPriority(const State &S, const std::string &QueueName) {
  const bool HasWaitingBatch =
      serviceQueueOf(S, QueueName)
          .WaitingCalls_[priorityIndex(Priority::Batch)] > 0;
  if (HasWaitingBatch && isBatchDue(S, QueueName))
    return Priority::Batch;
  return Priority::Interactive;
}

void recordDispatch(State &S, const Call &C) {
  const auto Found = S.Config_.Configuration_.AccountsByName_.find(C.Account_);
  const double Weight =
      Found == S.Config_.Configuration_.AccountsByName_.end()
          ? 1
          : Found->second.Weight_ / (1.0 + Found->second.Rank_);
  S.Admission_.Accounts_[accountQueueKey(C)].WeightedWork_ +=
      workUnits(C) / Weight;
  ServiceQueueState &Queue = S.Admission_.ServiceQueues_[C.ServiceQueue_];
  if (C.Request_.Priority_ == Priority::Interactive) {
    ++Queue.InteractiveSinceBatch_;
    return;
  }
  Queue.InteractiveSinceBatch_ = 0;
  Queue.BatchServedAt_ = S.Now_;
}

bool isBatchDue(const State &S, const std::string &QueueName) {
  // The bound on the time since the last batch call matters if the interactive
  // calls of other processes fill the upstreams while this process has only
  // batch calls: the number of its own interactive calls does not grow then.
  const ServiceQueueState &Queue = serviceQueueOf(S, QueueName);
  return Queue.InteractiveSinceBatch_ >= InteractivePerBatch ||
         S.Now_ - Queue.BatchServedAt_ >= Queue.MaxBatchGap_;
}

void tickAdmission(State &S) {
  const double ClusterSize =
      static_cast<double>(S.Membership_.Peers_.size() + 1);
  for (auto &[Name, Queue] : S.Admission_.ServiceQueues_) {
    double CallsPerSecond = 0;
    for (const Upstream &U : S.Upstreams_)
      if (!U.Leaving_ && U.Listed_ && U.Slots_ > 0 &&
          (Name.empty() || U.Row_.Service_ == Name))
        CallsPerSecond += U.Slots_ * 1000 / std::max(1.0, U.AttemptMs_);
    const double BatchPerSecond =
        CallsPerSecond / (InteractivePerBatch + 1) / ClusterSize;
    Queue.MaxBatchGap_ =
        static_cast<Millis>(1000 / std::max(MinBatchPerSecond, BatchPerSecond));
  }
}

void recordCallEnd(State &S, const Call &C) {
  AccountState &Account = S.Admission_.Accounts_[accountQueueKey(C)];
  Account.InFlight_ = std::max(0, Account.InFlight_ - 1);
}

void recordAnswer(State &S, const Call &C) {
  ServiceQueueState &Queue = S.Admission_.ServiceQueues_[C.ServiceQueue_];
  const std::size_t Index = priorityIndex(C.Request_.Priority_);
  const double DurationMs = static_cast<double>(S.Now_ - C.DispatchedAt_);
  Queue.AnswerMs_[Index] +=
      ServiceTimeWeight * (DurationMs - Queue.AnswerMs_[Index]);
  ++Queue.AnsweredInWindow_[Index];
  const Millis Elapsed = S.Now_ - Queue.WindowStartedAt_;
  if (Elapsed < DrainRateWindow)
    return;
  for (std::size_t I = 0; I < 2; ++I) {
    // With no calls waiting the answer rate is limited by the arrivals, so it
    // can raise the estimated drain rate but not lower it.
    const double Rate =
        Queue.AnsweredInWindow_[I] * 1000.0 / static_cast<double>(Elapsed);
    if (Queue.WaitingCalls_[I] > 0 || Rate > Queue.AnswersPerSecond_[I])
      Queue.AnswersPerSecond_[I] = (Queue.AnswersPerSecond_[I] + Rate) / 2;
    Queue.AnsweredInWindow_[I] = 0;
  }
  Queue.WindowStartedAt_ = S.Now_;
}

int waitingCalls(const State &S, const std::string &Service) {
  return totalWaiting(serviceQueueOf(S, Service));
}

double retryBudget(const State &S, const Call &C) {
  return serviceQueueOf(S, C.ServiceQueue_).RetryBudget_;
}

bool hasRetryBudget(const State &S, const Call &C) {
  return retryBudget(S, C) >= 1;
}

bool consumeRetry(State &S, const Call &C) {
  ServiceQueueState &Queue = S.Admission_.ServiceQueues_[C.ServiceQueue_];
  if (Queue.RetryBudget_ < 1)
    return false;
  Queue.RetryBudget_ -= 1;
  return true;
}

} // namespace endivewharf
