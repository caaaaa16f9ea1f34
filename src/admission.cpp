// Rate limits, the door, weighted fair queues and the retry budget.
#include "admission.h"

#include <algorithm>
#include <fmt/format.h>

namespace endivewharf {

namespace {

constexpr double BurstSeconds = 2;        // of an account's rate
constexpr int BatchFloor = 9;             // interactive calls per batch call
constexpr double RetryShare = 0.1;        // retries per accepted request
constexpr double MaxRetryBudget = 20;     // retries
constexpr double MinBatchPerSecond = 0.5; // calls, whatever the capacity
constexpr double DoorMargin = 1.3;        // for waits that vary
constexpr double NewAnswerShare = 0.1;    // of a new answer in the average
constexpr Millis DrainWindow = 1000;      // ms
constexpr double MinDrainPerSecond = 1;   // calls
constexpr Millis MinRetryAfter = 200;     // ms
constexpr Millis MaxRetryAfter = 30000;   // ms
constexpr double TokensPerWorkUnit = 256; // tokens
constexpr double BytesPerToken = 4;
constexpr double RetryMargin = 0.7;       // of the bound, for uneven processes
constexpr double LongestWaitShare = 0.25; // of a routed call's objective
constexpr Millis MinLongestWait = 50;     // ms, about one tick
constexpr int MinLaneQueue = 4;           // calls that wait without a check

std::size_t index(Priority Value) { return static_cast<std::size_t>(Value); }

/// Work of a call in units of about one short answer.
double work(const Call &C) {
  if (!C.Lane_.empty())
    return 1 + static_cast<double>(C.Request_.PromptTokens_ +
                                   C.Request_.MaxTokens_) /
                   TokensPerWorkUnit;
  const double Tokens =
      static_cast<double>(C.Request_.Prompt_.size()) / BytesPerToken +
      static_cast<double>(C.Request_.MaxTokens_);
  return 1 + Tokens / TokensPerWorkUnit;
}

void fillBucket(AccountState &State, const Account &A, Millis Now) {
  const double Capacity = std::max(1.0, A.RatePerSecond_ * BurstSeconds);
  const double Elapsed = static_cast<double>(Now - State.FilledAt_) / 1000;
  State.Tokens_ =
      State.Tokens_ < 0
          ? Capacity
          : std::min(Capacity, State.Tokens_ + Elapsed * A.RatePerSecond_);
  State.FilledAt_ = Now;
}

const LaneState &laneOf(const State &S, const std::string &Name) {
  static const LaneState Empty;
  const auto Found = S.Admission_.Lanes_.find(Name);
  return Found == S.Admission_.Lanes_.end() ? Empty : Found->second;
}

int waitingInAll(const LaneState &Lane) {
  return Lane.Waiting_[0] + Lane.Waiting_[1];
}

double drainRate(const LaneState &Lane, Priority Which) {
  return std::max(MinDrainPerSecond, Lane.DrainPerSecond_[index(Which)]);
}

/// Time until a queue has drained.
Millis drainTime(const LaneState &Lane, Priority Which) {
  return static_cast<Millis>(Lane.Waiting_[index(Which)] * 1000 /
                             drainRate(Lane, Which));
}

bool isWaiting(const AccountState &Account) {
  return !Account.Queues_[0].empty() || !Account.Queues_[1].empty();
}

/// The part of all capacity that is an account's while others wait as well.
double fairShare(const State &S, const Account &A) {
  double Sum = A.Weight_;
  for (const auto &[Key, Other] : S.Config_.Value_.AccountsByKey_) {
    const auto Found = S.Admission_.Accounts_.find(Other.Name_);
    if (Other.Name_ != A.Name_ && Found != S.Admission_.Accounts_.end() &&
        isWaiting(Found->second))
      Sum += Other.Weight_;
  }
  return A.Weight_ / Sum;
}

/// Calls that are served before an account's next one: its own, and of every
/// other account what its weight gives it meanwhile, or twice what waits now,
/// since more may come.
double servedBefore(const State &S, const Account &A, Priority Which) {
  const auto Queue = [&](const std::string &Name) {
    const auto Found = S.Admission_.Accounts_.find(Name);
    return Found == S.Admission_.Accounts_.end()
               ? 0.0
               : static_cast<double>(
                     Found->second.Queues_[index(Which)].size());
  };
  const double Own = Queue(A.Name_);
  double Sum = Own;
  for (const auto &[Key, Other] : S.Config_.Value_.AccountsByKey_)
    if (Other.Name_ != A.Name_)
      Sum += std::min(2 * Queue(Other.Name_), Own * Other.Weight_ / A.Weight_);
  return Sum;
}

/// Time until an account's next call would be answered, with a margin.
Millis expectedTime(const State &S, const Call &C, const Account &A) {
  const Priority Which = C.Request_.Priority_;
  const LaneState &Lane = laneOf(S, C.Lane_);
  const double Wait = servedBefore(S, A, Which) * 1000 / drainRate(Lane, Which);
  const double Service = Lane.ServiceMs_[index(Which)];
  return static_cast<Millis>((Wait + Service) * DoorMargin);
}

} // namespace

std::string queueName(const Call &C) {
  return C.Lane_.empty() ? C.Account_
                         : fmt::format("{}|{}", C.Lane_, C.Account_);
}

Millis longestWait(const Call &C) {
  return std::max(MinLongestWait,
                  static_cast<Millis>(static_cast<double>(C.Objective_) *
                                      LongestWaitShare));
}

Millis retryAfter(State &S, const Call &C) {
  const Millis Drain = drainTime(laneOf(S, C.Lane_), C.Request_.Priority_);
  const Millis Spread = std::max<Millis>(Drain, MinRetryAfter);
  const Millis Jitter =
      static_cast<Millis>(nextRandom(S) % static_cast<std::uint64_t>(Spread));
  return std::min(MaxRetryAfter, Drain + MinRetryAfter + Jitter);
}

std::optional<CallError> checkAdmission(State &S, const Call &C,
                                        const Account &A) {
  AccountState &Account = S.Admission_.Accounts_[A.Name_];
  fillBucket(Account, A, S.Now_);
  if (Account.Tokens_ < 1) {
    const double Missing = (1 - Account.Tokens_) / A.RatePerSecond_;
    return CallError{ErrorKind::OverLimit, RunState::NotRun,
                     "the account's request rate is used up",
                     static_cast<Millis>(Missing * 1000) + MinRetryAfter};
  }
  if (Account.InFlight_ >= A.MaxInFlight_)
    return CallError{ErrorKind::OverLimit, RunState::NotRun,
                     "the account has too many requests in flight",
                     retryAfter(S, C)};
  const int Waiting = waitingInAll(laneOf(S, C.Lane_));
  const double Own = static_cast<double>(Account.Queues_[0].size() +
                                         Account.Queues_[1].size());
  const int Room = S.Settings_.Limits_.QueueLength_;
  if (Waiting >= Room && Own >= Room * fairShare(S, A))
    return CallError{ErrorKind::Overloaded, RunState::NotRun,
                     "the queue is full", retryAfter(S, C)};
  if (S.Now_ + expectedTime(S, C, A) > C.Deadline_)
    return CallError{ErrorKind::Overloaded, RunState::NotRun,
                     "the queue is longer than the request's time limit",
                     retryAfter(S, C)};
  Account.Tokens_ -= 1;
  LaneState &Lane = S.Admission_.Lanes_[C.Lane_];
  Lane.RetryBudget_ = std::min(MaxRetryBudget, Lane.RetryBudget_ + RetryShare);
  return std::nullopt;
}

std::optional<CallError> checkLane(State &S, const Call &C) {
  const auto Known = S.Admission_.Lanes_.find(C.Lane_);
  const BoundSettings &Bounds = S.Settings_.Bounds_;
  // Every process has an equal part of the retries that are free.
  const double Slack =
      std::max(1.0, Bounds.RetrySlack_ * RetryMargin /
                        static_cast<double>(S.Membership_.Largest_));
  if (Known == S.Admission_.Lanes_.end())
    S.Admission_.Lanes_[C.Lane_].RetryBudget_ = Slack;
  LaneState &Lane = S.Admission_.Lanes_[C.Lane_];
  Lane.RetryBudget_ =
      std::min(Slack, Lane.RetryBudget_ + Bounds.RetryShare_ * RetryMargin);
  const Millis Wait = drainTime(Lane, C.Request_.Priority_);
  if (waitingInAll(Lane) > MinLaneQueue && Wait > longestWait(C))
    return CallError{ErrorKind::Overloaded, RunState::NotRun,
                     "the queue is longer than the request may wait",
                     retryAfter(S, C)};
  return std::nullopt;
}

void enqueue(State &S, const Call &C, bool Front) {
  AccountState &Account = S.Admission_.Accounts_[queueName(C)];
  Account.Lane_ = C.Lane_;
  auto &Queue = Account.Queues_[index(C.Request_.Priority_)];
  if (!isWaiting(Account)) {
    // An account that was idle starts level with the least served one, so
    // that it neither owes nor has saved up anything.
    double Least = -1;
    for (const auto &[Name, Other] : S.Admission_.Accounts_)
      if (isWaiting(Other) && Other.Lane_ == C.Lane_)
        Least = Least < 0 ? Other.Served_ : std::min(Least, Other.Served_);
    Account.Served_ = std::max(Account.Served_, Least);
  }
  if (Front)
    Queue.push_front(C.Id_);
  else
    Queue.push_back(C.Id_);
  ++S.Admission_.Lanes_[C.Lane_].Waiting_[index(C.Request_.Priority_)];
}

void dequeue(State &S, const Call &C) {
  const std::size_t Which = index(C.Request_.Priority_);
  auto &Queue = S.Admission_.Accounts_[queueName(C)].Queues_[Which];
  const auto Found = std::find(Queue.begin(), Queue.end(), C.Id_);
  if (Found == Queue.end())
    return;
  Queue.erase(Found);
  --S.Admission_.Lanes_[C.Lane_].Waiting_[Which];
}

std::vector<std::string> queuesByTurn(const State &S, const std::string &Lane,
                                      Priority Which) {
  std::vector<std::string> Names;
  for (const auto &[Name, Account] : S.Admission_.Accounts_)
    if (Account.Lane_ == Lane && !Account.Queues_[index(Which)].empty())
      Names.push_back(Name);
  std::stable_sort(Names.begin(), Names.end(),
                   [&](const auto &A, const auto &B) {
                     return S.Admission_.Accounts_.at(A).Served_ <
                            S.Admission_.Accounts_.at(B).Served_;
                   });
  return Names;
}

Priority nextPriority(const State &S, const std::string &Lane) {
  const bool BatchWaits = laneOf(S, Lane).Waiting_[index(Priority::Batch)] > 0;
  if (BatchWaits && isBatchDue(S, Lane))
    return Priority::Batch;
  return Priority::Interactive;
}

void noteServed(State &S, const Call &C) {
  const auto Found = S.Config_.Value_.AccountsByName_.find(C.Account_);
  const double Weight =
      Found == S.Config_.Value_.AccountsByName_.end()
          ? 1
          : Found->second.Weight_ / (1.0 + Found->second.Rank_);
  S.Admission_.Accounts_[queueName(C)].Served_ += work(C) / Weight;
  LaneState &Lane = S.Admission_.Lanes_[C.Lane_];
  if (C.Request_.Priority_ == Priority::Interactive) {
    ++Lane.SinceBatch_;
    return;
  }
  Lane.SinceBatch_ = 0;
  Lane.BatchServedAt_ = S.Now_;
}

bool isBatchDue(const State &S, const std::string &Name) {
  // The second rule holds where other processes' interactive requests fill the
  // upstreams and this one has only batch.
  const LaneState &Lane = laneOf(S, Name);
  return Lane.SinceBatch_ >= BatchFloor ||
         S.Now_ - Lane.BatchServedAt_ >= Lane.BatchGap_;
}

void tickAdmission(State &S) {
  const double Processes =
      static_cast<double>(S.Membership_.Members_.size() + 1);
  for (auto &[Name, Lane] : S.Admission_.Lanes_) {
    double PerSecond = 0;
    for (const Upstream &U : S.Upstreams_)
      if (!U.Leaving_ && U.Listed_ && U.Slots_ > 0 &&
          (Name.empty() || U.Row_.Service_ == Name))
        PerSecond += U.Slots_ * 1000 / std::max(1.0, U.ServiceMs_);
    const double Floor = PerSecond / (BatchFloor + 1) / Processes;
    Lane.BatchGap_ =
        static_cast<Millis>(1000 / std::max(MinBatchPerSecond, Floor));
  }
}

void noteEnded(State &S, const Call &C) {
  AccountState &Account = S.Admission_.Accounts_[queueName(C)];
  Account.InFlight_ = std::max(0, Account.InFlight_ - 1);
}

void noteAnswered(State &S, const Call &C) {
  LaneState &A = S.Admission_.Lanes_[C.Lane_];
  const std::size_t Which = index(C.Request_.Priority_);
  const double Took = static_cast<double>(S.Now_ - C.DispatchedAt_);
  A.ServiceMs_[Which] += NewAnswerShare * (Took - A.ServiceMs_[Which]);
  ++A.AnsweredInWindow_[Which];
  const Millis Elapsed = S.Now_ - A.WindowStart_;
  if (Elapsed < DrainWindow)
    return;
  for (std::size_t I = 0; I < 2; ++I) {
    // With nothing waiting the rate is that of arrivals: it may show that more
    // is possible, never that less is.
    const double Rate =
        A.AnsweredInWindow_[I] * 1000.0 / static_cast<double>(Elapsed);
    if (A.Waiting_[I] > 0 || Rate > A.DrainPerSecond_[I])
      A.DrainPerSecond_[I] = (A.DrainPerSecond_[I] + Rate) / 2;
    A.AnsweredInWindow_[I] = 0;
  }
  A.WindowStart_ = S.Now_;
}

bool hasRetry(const State &S, const Call &C) {
  return laneOf(S, C.Lane_).RetryBudget_ >= 1;
}

bool takeRetry(State &S, const Call &C) {
  LaneState &Lane = S.Admission_.Lanes_[C.Lane_];
  if (Lane.RetryBudget_ < 1)
    return false;
  Lane.RetryBudget_ -= 1;
  return true;
}

} // namespace endivewharf
