// Runs attempts of completions and service calls: uses the streaming
// completions API with engines and plain HTTP with services, and reports
// results as events.
#pragma once

#include "answerbudget.h"
#include "client.h"
#include "effect.h"

#include <functional>
#include <unordered_map>

namespace endivewharf {

/// Receives the events of attempts.
using EventSink = std::function<void(EventBody)>;

/// @param End how a transfer without a complete answer ended
/// @return the failure of its attempt
AttemptFailure attemptFailureOf(TransferEnd End);

/// Runs attempts as HTTP transfers.
class AttemptRunner {
public:
  /// @param MaxAnswer longest answer of a service, in bytes
  AttemptRunner(HttpClient &Client, EventSink Sink, std::int64_t MaxAnswer)
      : Client_(Client), Sink_(std::move(Sink)), MaxAnswerBytes_(MaxAnswer) {}

  /// Sends an attempt's request; its events go to the sink.
  void start(const StartAttempt &E);
  /// Stops an attempt without any further event; unknown numbers are ignored.
  void cancel(const CancelAttempt &E);

private:
  struct RunningAttempt;

  void startCompletion(const StartAttempt &E);
  void startService(const StartAttempt &E);
  /// Handles bytes of a completion's stream.
  /// @return false if the transfer is to be stopped
  bool onBytes(RunningAttempt &R, int Status, std::string_view Bytes);
  /// Charges what an attempt keeps to the budget of all, and gives up the one
  /// that keeps most if it is exceeded.
  /// @return false if this attempt was given up
  bool isWithinBudget(RunningAttempt &R);
  /// Handles one line of server-sent events.
  /// @return false if the line breaks the protocol
  bool onLine(RunningAttempt &R, std::string_view Line);
  /// Reports the result of an attempt whose transfer has ended.
  void onTransferEnded(AttemptId Id, const HttpResult &Result);
  void reportFailure(AttemptId Id, AttemptFailure Failure, std::string Detail,
                     bool Leaving = false);

  HttpClient &Client_;
  EventSink Sink_;
  std::int64_t MaxAnswerBytes_;
  std::unordered_map<AttemptId, std::shared_ptr<RunningAttempt>>
      RunningAttempts_;
  AnswerBudget Budget_;
};

} // namespace endivewharf
