// Rate limits, the door, weighted fair queues and the retry budget.
#include "admission.h"

#include <algorithm>
#include <fmt/format.h>

namespace endivewharf {

namespace {

constexpr double RateBurstSeconds = 2; // of an account's rate
constexpr int InteractivePerBatch = 9; // interactive calls per batch call
constexpr double RetriesPerAcceptedCall = 0.1; // retries per accepted request
constexpr double MaxRetryBudget = 20;          // retries
constexpr double MinBatchPerSecond = 0.5;      // calls, whatever the capacity
constexpr double ExpectedTimeMargin = 1.3;     // for waits that vary
constexpr double ServiceTimeWeight = 0.1;      // of a new answer in the average
constexpr Millis DrainRateWindow = 1000;       // ms
constexpr double MinDrainPerSecond = 1;        // calls
constexpr Millis MinRetryAfter = 200;          // ms
constexpr Millis MaxRetryAfter = 30000;        // ms
constexpr double TokensPerWorkUnit = 256;      // tokens
constexpr double BytesPerToken = 4;
constexpr double RetryBudgetMargin = 0.7; // of the bound, for uneven processes
constexpr double MaxQueueWaitFraction = 0.25; // of a routed call's objective
constexpr Millis MinQueueWaitBound = 50;      // ms, about one tick
constexpr int UncheckedQueueLength = 4;       // calls that wait without a check

std::size_t priorityIndex(Priority Value) {
  return static_cast<std::size_t>(Value);
}

/// Work of a call in units of about one short answer.
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

void refillRateBucket(AccountState &State, const Account &A, Millis Now) {
  const double Capacity = std::max(1.0, A.RatePerSecond_ * RateBurstSeconds);
  const double Elapsed = static_cast<double>(Now - State.RefilledAt_) / 1000;
  State.RateTokens_ =
      State.RateTokens_ < 0
          ? Capacity
          : std::min(Capacity, State.RateTokens_ + Elapsed * A.RatePerSecond_);
  State.RefilledAt_ = Now;
}

const ServiceQueueState &serviceQueueOf(const State &S,
                                        const std::string &Name) {
  static const ServiceQueueState Empty;
  const auto Found = S.Admission_.ServiceQueues_.find(Name);
  return Found == S.Admission_.ServiceQueues_.end() ? Empty : Found->second;
}

int totalWaiting(const ServiceQueueState &Lane) {
  return Lane.WaitingCalls_[0] + Lane.WaitingCalls_[1];
}

double drainRatePerSecond(const ServiceQueueState &Lane, Priority Which) {
  return std::max(MinDrainPerSecond,
                  Lane.AnswersPerSecond_[priorityIndex(Which)]);
}

/// Time until a queue has drained.
Millis drainTime(const ServiceQueueState &Lane, Priority Which) {
  return static_cast<Millis>(Lane.WaitingCalls_[priorityIndex(Which)] * 1000 /
                             drainRatePerSecond(Lane, Which));
}

bool hasWaitingCalls(const AccountState &Account) {
  return !Account.Queues_[0].empty() || !Account.Queues_[1].empty();
}

/// The part of all capacity that is an account's while others wait as well.
double fairShare(const State &S, const Account &A) {
  double Sum = A.Weight_;
  for (const auto &[Key, Other] : S.Config_.Configuration_.AccountsByKey_) {
    const auto Found = S.Admission_.Accounts_.find(Other.Name_);
    if (Other.Name_ != A.Name_ && Found != S.Admission_.Accounts_.end() &&
        hasWaitingCalls(Found->second))
      Sum += Other.Weight_;
  }
  return A.Weight_ / Sum;
}

/// Calls that are served before an account's next one: its own, and of every
/// other account what its weight gives it meanwhile, or twice what waits now,
/// since more may come.
double callsServedBefore(const State &S, const Account &A, Priority Which) {
  const auto Queue = [&](const std::string &Name) {
    const auto Found = S.Admission_.Accounts_.find(Name);
    return Found == S.Admission_.Accounts_.end()
               ? 0.0
               : static_cast<double>(
                     Found->second.Queues_[priorityIndex(Which)].size());
  };
  const double Own = Queue(A.Name_);
  double Sum = Own;
  for (const auto &[Key, Other] : S.Config_.Configuration_.AccountsByKey_)
    if (Other.Name_ != A.Name_)
      Sum += std::min(2 * Queue(Other.Name_), Own * Other.Weight_ / A.Weight_);
  return Sum;
}

/// Time until an account's next call would be answered, with a margin.
Millis expectedAnswerTime(const State &S, const Call &C, const Account &A) {
  const Priority Which = C.Request_.Priority_;
  const ServiceQueueState &Lane = serviceQueueOf(S, C.ServiceQueue_);
  const double Wait =
      callsServedBefore(S, A, Which) * 1000 / drainRatePerSecond(Lane, Which);
  const double Service = Lane.AnswerMs_[priorityIndex(Which)];
  return static_cast<Millis>((Wait + Service) * ExpectedTimeMargin);
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
  const Millis Drain =
      drainTime(serviceQueueOf(S, C.ServiceQueue_), C.Request_.Priority_);
  const Millis Spread = std::max<Millis>(Drain, MinRetryAfter);
  const Millis Jitter =
      static_cast<Millis>(nextRandom(S) % static_cast<std::uint64_t>(Spread));
  return std::min(MaxRetryAfter, Drain + MinRetryAfter + Jitter);
}

std::optional<CallError> checkAdmission(State &S, const Call &C,
                                        const Account &A) {
  AccountState &Account = S.Admission_.Accounts_[A.Name_];
  refillRateBucket(Account, A, S.Now_);
  if (Account.RateTokens_ < 1) {
    const double Missing = (1 - Account.RateTokens_) / A.RatePerSecond_;
    return CallError{ErrorKind::OverLimit, RunState::NotRun,
                     "the account's request rate is used up",
                     static_cast<Millis>(Missing * 1000) + MinRetryAfter};
  }
  if (Account.InFlight_ >= A.MaxInFlight_)
    return CallError{ErrorKind::OverLimit, RunState::NotRun,
                     "the account has too many requests in flight",
                     retryAfter(S, C)};
  const int Waiting = totalWaiting(serviceQueueOf(S, C.ServiceQueue_));
  const double Own = static_cast<double>(Account.Queues_[0].size() +
                                         Account.Queues_[1].size());
  const int Room = S.Settings_.Limits_.MaxQueueLength_;
  if (Waiting >= Room && Own >= Room * fairShare(S, A))
    return CallError{ErrorKind::Overloaded, RunState::NotRun,
                     "the queue is full", retryAfter(S, C)};
  if (S.Now_ + expectedAnswerTime(S, C, A) > C.Deadline_)
    return CallError{ErrorKind::Overloaded, RunState::NotRun,
                     "the queue is longer than the request's time limit",
                     retryAfter(S, C)};
  Account.RateTokens_ -= 1;
  ServiceQueueState &Lane = S.Admission_.ServiceQueues_[C.ServiceQueue_];
  Lane.RetryBudget_ =
      std::min(MaxRetryBudget, Lane.RetryBudget_ + RetriesPerAcceptedCall);
  return std::nullopt;
}

std::optional<CallError> checkServiceQueue(State &S, const Call &C) {
  const auto Known = S.Admission_.ServiceQueues_.find(C.ServiceQueue_);
  const BoundSettings &Bounds = S.Settings_.Bounds_;
  // Every process has an equal part of the retries that are free.
  const double Slack =
      std::max(1.0, Bounds.RetrySlack_ * RetryBudgetMargin /
                        static_cast<double>(S.Membership_.PeakClusterSize_));
  if (Known == S.Admission_.ServiceQueues_.end())
    S.Admission_.ServiceQueues_[C.ServiceQueue_].RetryBudget_ = Slack;
  ServiceQueueState &Lane = S.Admission_.ServiceQueues_[C.ServiceQueue_];
  Lane.RetryBudget_ = std::min(
      Slack, Lane.RetryBudget_ + Bounds.RetryShare_ * RetryBudgetMargin);
  const Millis Wait = drainTime(Lane, C.Request_.Priority_);
  if (totalWaiting(Lane) > UncheckedQueueLength && Wait > maxQueueWait(C))
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
    // An account that was idle starts level with the least served one, so
    // that it neither owes nor has saved up anything.
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
  const std::size_t Which = priorityIndex(C.Request_.Priority_);
  auto &Queue = S.Admission_.Accounts_[accountQueueKey(C)].Queues_[Which];
  const auto Found = std::find(Queue.begin(), Queue.end(), C.Id_);
  if (Found == Queue.end())
    return;
  Queue.erase(Found);
  --S.Admission_.ServiceQueues_[C.ServiceQueue_].WaitingCalls_[Which];
}

std::vector<std::string> queuesLeastServedFirst(const State &S,
                                                const std::string &Lane,
                                                Priority Which) {
  std::vector<std::string> Names;
  for (const auto &[Name, Account] : S.Admission_.Accounts_)
    if (Account.ServiceQueue_ == Lane &&
        !Account.Queues_[priorityIndex(Which)].empty())
      Names.push_back(Name);
  std::stable_sort(Names.begin(), Names.end(),
                   [&](const auto &A, const auto &B) {
                     return S.Admission_.Accounts_.at(A).WeightedWork_ <
                            S.Admission_.Accounts_.at(B).WeightedWork_;
                   });
  return Names;
}

Priority nextPriority(const State &S, const std::string &Lane) {
  const bool BatchWaits =
      serviceQueueOf(S, Lane).WaitingCalls_[priorityIndex(Priority::Batch)] > 0;
  if (BatchWaits && isBatchDue(S, Lane))
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
  ServiceQueueState &Lane = S.Admission_.ServiceQueues_[C.ServiceQueue_];
  if (C.Request_.Priority_ == Priority::Interactive) {
    ++Lane.InteractiveSinceBatch_;
    return;
  }
  Lane.InteractiveSinceBatch_ = 0;
  Lane.BatchServedAt_ = S.Now_;
}

bool isBatchDue(const State &S, const std::string &Name) {
  // The second rule holds where other processes' interactive requests fill the
  // upstreams and this one has only batch.
  const ServiceQueueState &Lane = serviceQueueOf(S, Name);
  return Lane.InteractiveSinceBatch_ >= InteractivePerBatch ||
         S.Now_ - Lane.BatchServedAt_ >= Lane.MaxBatchGap_;
}

void tickAdmission(State &S) {
  const double Processes = static_cast<double>(S.Membership_.Peers_.size() + 1);
  for (auto &[Name, Lane] : S.Admission_.ServiceQueues_) {
    double PerSecond = 0;
    for (const Upstream &U : S.Upstreams_)
      if (!U.Leaving_ && U.Listed_ && U.Slots_ > 0 &&
          (Name.empty() || U.Row_.Service_ == Name))
        PerSecond += U.Slots_ * 1000 / std::max(1.0, U.AttemptMs_);
    const double Floor = PerSecond / (InteractivePerBatch + 1) / Processes;
    Lane.MaxBatchGap_ =
        static_cast<Millis>(1000 / std::max(MinBatchPerSecond, Floor));
  }
}

void recordCallEnd(State &S, const Call &C) {
  AccountState &Account = S.Admission_.Accounts_[accountQueueKey(C)];
  Account.InFlight_ = std::max(0, Account.InFlight_ - 1);
}

void observeAnswer(State &S, const Call &C) {
  ServiceQueueState &A = S.Admission_.ServiceQueues_[C.ServiceQueue_];
  const std::size_t Which = priorityIndex(C.Request_.Priority_);
  const double Took = static_cast<double>(S.Now_ - C.DispatchedAt_);
  A.AnswerMs_[Which] += ServiceTimeWeight * (Took - A.AnswerMs_[Which]);
  ++A.AnsweredInWindow_[Which];
  const Millis Elapsed = S.Now_ - A.WindowStartedAt_;
  if (Elapsed < DrainRateWindow)
    return;
  for (std::size_t I = 0; I < 2; ++I) {
    // With nothing waiting the rate is that of arrivals: it may show that more
    // is possible, never that less is.
    const double Rate =
        A.AnsweredInWindow_[I] * 1000.0 / static_cast<double>(Elapsed);
    if (A.WaitingCalls_[I] > 0 || Rate > A.AnswersPerSecond_[I])
      A.AnswersPerSecond_[I] = (A.AnswersPerSecond_[I] + Rate) / 2;
    A.AnsweredInWindow_[I] = 0;
  }
  A.WindowStartedAt_ = S.Now_;
}

bool hasRetryBudget(const State &S, const Call &C) {
  return serviceQueueOf(S, C.ServiceQueue_).RetryBudget_ >= 1;
}

bool consumeRetry(State &S, const Call &C) {
  ServiceQueueState &Lane = S.Admission_.ServiceQueues_[C.ServiceQueue_];
  if (Lane.RetryBudget_ < 1)
    return false;
  Lane.RetryBudget_ -= 1;
  return true;
}

} // namespace endivewharf
