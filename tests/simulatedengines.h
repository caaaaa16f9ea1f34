// Simulated engines behind a PlatformGroup: they stream answers to prompts in
// parts, and end when they begin to answer a prompt that has a deadly part.
#pragma once

#include "platformgroup.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace endivewharf {

/// Outcome of one prompt, as its caller and the engines see it.
struct PromptOutcome {
  Millis SentAt_ = 0;
  int Process_ = 0;
  std::vector<std::string> Parts_;
  int Arrivals_ = 0; ///< Attempts that reached an engine.
  bool Served_ = false;
  bool ServedAtFirst_ = false; ///< Its first attempt was the one that began.
  bool Refused_ = false;       ///< Refused without having reached an engine.
  Millis RefusedAt_ = 0;
};

/// Engines of the service `models` in the data centres of a group.
class SimulatedEngines {
public:
  static constexpr Millis FirstEventDelay = 150; // ms
  static constexpr Millis AnswerDuration = 400;  // ms
  static constexpr Millis RestartDelay = 3200;   // ms
  /// Time for which the host list still has an engine that has ended, in ms.
  static constexpr Millis ListExpiry = 3600;

  /// Configuration of a group with one route of streams to the engines.
  static constexpr const char *Config = R"([account buyers]
key = k1
[service models]
max_connections = 1000
[route plan]
host = shop.example
path = /plan/
kind = stream
public = yes
resumable = yes
time_limit = 15000ms
objective = 1000ms
attempts = 2
service = models:1
)";

  SimulatedEngines(PlatformGroup &Group, int Count);

  /// Sends a prompt for the route `/plan/`; the last part should be unique.
  /// @param Process index of the process
  /// @return index of the outcome; -1 if the process does not run
  int sendPrompt(int Process, std::vector<std::string> Parts);

  /// Ends an engine; it starts again after `RestartDelay` with another name.
  void endEngine(int Index);
  /// Lets an engine name a limit in its answers from now on.
  /// @param PerSecond requests per second; nothing: it names none any more
  void setLimit(int Index, std::optional<double> PerSecond);
  /// @param Contact time in ms after the first naming from which the limit
  /// binds
  /// @param IsExcused tells whether a process does not count at a time
  /// @return largest number of requests in any 4 s of one engine, less what its
  ///   limits allowed; counted are processes that had passed on an answer with
  ///   the limit half a second before
  double largestExcess(
      Millis Contact, const std::function<bool(int, Millis)> &IsExcused =
                          [](int, Millis) { return false; }) const;
  /// @return longest time in ms until a prompt sent since a time was refused
  Millis longestRefusal(Millis From) const;
  /// @return requests that reached an engine since a time
  int arrivalsAt(int Index, Millis From) const;
  /// Breaks the first event of each attempt that begins at an engine from now
  /// on with this probability.
  void setResetFraction(double Fraction) { ResetFraction_ = Fraction; }

  /// Starts engines again and removes expired entries; must be called once in
  /// every step of the group.
  void step() { restartEngines(); }

  int count() const { return static_cast<int>(Engines_.size()); }
  const std::vector<PromptOutcome> &outcomes() const { return Outcomes_; }
  /// @return times at which engines ended because of a deadly part
  const std::vector<Millis> &ends() const { return Ends_; }
  /// @return time of the end with this number, from 1, that a part has caused;
  ///   -1 if there were fewer
  Millis endAt(const std::string &Part, int Number) const;
  /// @param Part a deadly part
  /// @param From time from which arrivals count
  /// @param IsExcused tells whether a process does not count at a time
  /// @return attempts with the part that reached an engine
  int arrivalsWith(
      const std::string &Part, Millis From,
      const std::function<bool(int, Millis)> &IsExcused = [](int, Millis) {
        return false;
      }) const;

  std::set<std::string> DeadlyParts_;

private:
  struct Engine {
    HostRow Row_;
    bool Running_ = true;
    Millis RestartAt_ = 0;
    int StartCount_ = 1;
    std::optional<double> Limit_;
  };
  struct RunningAttempt {
    int Engine_ = 0;
    int Outcome_ = 0;
    std::uint64_t ProcessIncarnation_ = 0;
  };
  struct Arrival {
    Millis At_ = 0;
    int Outcome_ = 0;
    int Process_ = 0;
    int Engine_ = 0;
    int Start_ = 0; ///< Number of the engine's start.
  };
  /// Limits that one start of an engine has named.
  struct NamedLimits {
    Millis FirstAt_ = 0;
    std::vector<std::pair<Millis, double>> Changes_; ///< 0: none any more.
    std::map<int, Millis> FirstPassedOn_;            ///< By process.
  };
  using AttemptKey = std::pair<int, AttemptId>;

  bool onAttempt(int Process, const StartAttempt &Start);
  void onEffect(int Process, const Effect &E);
  /// Begins the answer of an attempt, or ends the engine that would.
  void beginAnswer(AttemptKey Key);
  void failAttempt(AttemptKey Key, AttemptFailure Failure);
  void restartEngines();
  void publishHosts();
  /// States the engine's limit in the head of an answer, if it names one.
  void sendNotice(AttemptKey Key, int Index);
  bool hasDeadlyPart(const PromptOutcome &Outcome) const;

  PlatformGroup &Group_;
  std::vector<Engine> Engines_;
  std::map<std::string, int> EngineByName_;
  /// Entries of engines that have ended, with the time of their removal.
  std::vector<std::pair<Millis, HostRow>> ExpiringRows_;
  std::vector<PromptOutcome> Outcomes_;
  std::map<std::string, int> OutcomeByRequest_;
  std::map<std::pair<int, CallId>, int> OutcomeByCall_;
  std::map<AttemptKey, RunningAttempt> Attempts_;
  std::vector<Arrival> Arrivals_;
  std::map<std::pair<int, int>, NamedLimits> Limits_; ///< By engine and start.
  std::vector<Millis> Ends_;
  std::vector<int> EndOutcomes_; ///< Prompt that has caused each of `Ends_`.
  double ResetFraction_ = 0;
  std::uint64_t RandomState_ = 20261204;
};

} // namespace endivewharf
