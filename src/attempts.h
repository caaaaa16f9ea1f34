// Carries out attempts: speaks the customary streaming API with engines and
// plain HTTP with services, and reports what came of it as events.
#pragma once

#include "client.h"
#include "effect.h"

#include <functional>
#include <unordered_map>

namespace endivewharf {

using EventSink = std::function<void(EventBody)>;

/// What the end of an exchange without a whole answer means for its attempt.
AttemptFailure attemptFailureOf(TransferEnd End);

class AttemptRunner {
public:
  AttemptRunner(HttpClient &Client, EventSink Sink, std::int64_t MaxAnswer)
      : Client_(Client), Sink_(std::move(Sink)), MaxAnswerBytes_(MaxAnswer) {}

  void start(const StartAttempt &E);
  void cancel(const CancelAttempt &E);

private:
  struct RunningAttempt;

  void startCompletion(const StartAttempt &E);
  void startService(const StartAttempt &E);
  bool onBytes(RunningAttempt &R, int Status, std::string_view Bytes);
  bool onLine(RunningAttempt &R, std::string_view Line);
  void onTransferEnded(AttemptId Id, const HttpResult &Result);
  void reportFailure(AttemptId Id, AttemptFailure Failure, std::string Detail,
                     bool Leaving = false);

  HttpClient &Client_;
  EventSink Sink_;
  std::int64_t MaxAnswerBytes_;
  std::unordered_map<AttemptId, std::shared_ptr<RunningAttempt>>
      RunningAttempts_;
};

} // namespace endivewharf
