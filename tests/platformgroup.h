// Simulation of many entry processes on the operators' platform. Each process
// is a state of the reducer; all of them share one store and one simulated
// clock, and no sockets are used. Messages between processes are delayed and
// can be lost; processes can be isolated, frozen and killed.
#pragma once

#include "core.h"

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace endivewharf {

/// Entry processes with a simulated network, store and clock.
class PlatformGroup {
public:
  /// Simulated time of one step, in ms; equals the tick of the processes.
  static constexpr Millis StepDuration = 50;
  /// Delay of a message from one process to another, in ms.
  static constexpr Millis MessageDelay = 50;
  static constexpr int DataCentreCount = 5;
  static constexpr int RelayPort = 7001;

  /// @param Size number of processes, assigned to the data centres in turn;
  /// they start at random times within 300 ms
  /// @param Config text of the first configuration that operators publish
  PlatformGroup(int Size, std::string Config);

  /// Advances the simulation.
  /// @param Time simulated time, in ms
  /// @param EachStep called after each step
  void runFor(
      Millis Time, const std::function<void()> &EachStep = [] {});

  /// Ends a process and starts its next incarnation later.
  /// @param RestartAfter time until the restart, in ms; 0 means no restart
  void killProcess(int I, Millis RestartAfter);
  /// Stops a process for a time in ms; events that arrive meanwhile are handled
  /// afterwards.
  void freezeProcess(int I, Millis Time);

  /// Appends a configuration to the operator log, with the next version.
  void publishConfig(std::string Config);
  /// Appends an operator's request to the operator log.
  void requestRollout(const RolloutRequest &Request);
  /// Appends an evacuation of a data centre, or its end, to the operator log.
  void requestEvacuation(const EvacuationRequest &Request);
  /// Appends again what was appended to the operator log since the last copy.
  void writeOperatorLogAgain();
  /// Keeps a copy of all logs and of the list of hosts in the store.
  void copyStore();
  /// Puts the copy in the place of what the store holds and begins a new era.
  void restoreStore();
  /// Replaces the list of hosts in the store.
  void setHosts(std::vector<HostRow> Hosts);

  /// Sends a request to a process; its service answers one step after it was
  /// dispatched.
  /// @return true if it was dispatched at once
  bool sendRequest(int I, const std::string &Path, const std::string &Key,
                   std::int64_t PromptTokens);

  /// Sends a request to a process.
  /// @return the call's ID there; 0 if the process does not run
  CallId submitRequest(int I, const CallRequest &R);

  /// Applies an event to a process after a delay in ms, unless its incarnation
  /// has ended by then. A frozen process handles the event when it resumes.
  void scheduleEvent(Millis Delay, int I, std::function<EventBody()> Body);

  State &processState(int I) { return Processes_[I].State_; }
  /// @return number of the process's incarnation; grows when it is killed
  std::uint64_t incarnation(int I) const { return Processes_[I].Incarnation_; }
  bool isRunning(int I) const { return Processes_[I].Running_; }
  int size() const { return static_cast<int>(Processes_.size()); }
  /// @return index of a running process that holds the lease, or -1
  int leaseHolder() const;
  static std::string processName(int I) { return "entry-" + std::to_string(I); }

  /// Answers attempts in place of the default; returns false to leave an
  /// attempt to the default.
  std::function<bool(int, const StartAttempt &)> AttemptHandler_;
  /// Is told every effect of a process before it is carried out.
  std::function<void(int, const Effect &)> EffectObserver_;
  /// Data centres that reach the store, but no other data centre.
  std::set<int> SeparatedDataCentres_;
  /// Data centres that can reach neither the store nor other data centres.
  std::set<int> IsolatedDataCentres_;
  std::set<int> ProcessesWithoutStore_;
  /// Processes that can reach neither the store nor any peer; callers still
  /// reach them.
  std::set<int> IsolatedProcesses_;
  /// Processes that hear the others, but whose messages and requests to the
  /// store are lost.
  std::set<int> MutedProcesses_;
  /// Processes whose calls the store refuses at once.
  std::set<int> RefusedProcesses_;
  /// Processes for which a call to the store takes SlowStoreCallTime.
  std::set<int> SlowStoreProcesses_;
  double PeerMessageLossFraction_ = 0; ///< Fraction of messages that are lost.
  /// Tokens by which all processes together may exceed a quota; taken over by
  /// processes that start later.
  double QuotaSlackTokens_ = 500;
  /// Time in ms within which all processes know of a change; taken over by
  /// processes that start later.
  Millis KnowledgeLimit_ = 4000;
  /// Bound of cold hosts; taken over by processes that start later.
  double ColdFactor_ = 0;
  double ColdSlack_ = 0; ///< Requests per second.
  /// Prompt tokens of the requests that were dispatched for the first time, by
  /// account.
  std::map<std::string, double> StartedTokens_;
  /// Prompt tokens of all requests that were refused before they were
  /// dispatched.
  double RefusedTokens_ = 0;
  Millis Now_ = 100000;
  std::int64_t MessageCount_ = 0;   ///< Messages sent, including lost ones.
  std::int64_t StoreCallCount_ = 0; ///< Calls to the store.
  /// Usage reports and scale requests sent to the platform.
  std::int64_t ControlCallCount_ = 0;
  /// Usage that was reported to the platform, by window number.
  std::map<std::int64_t, UsageCounts> ReportedUsage_;

private:
  struct Process {
    State State_;
    bool Running_ = true;
    Millis StartAt_ = 0; ///< Time of the next start; 0 means never.
    Millis FrozenUntil_ = 0;
    int HostReads_ = 0;    ///< Reads of the host list in progress.
    int HostReadRace_ = 0; ///< Counts the reads that have succeeded.
    std::uint64_t Incarnation_ = 1;
  };

  void startProcess(int I);
  void reduceEvent(int I, EventBody Body);
  /// Carries out an effect of a process.
  void executeEffect(int I, const Effect &E);
  void sendMessage(int I, const std::string &Peer, const PeerMessage &Message);
  /// Runs a callback after one step, unless the process's incarnation has ended
  /// by then.
  void scheduleNextStep(int I, std::function<void()> Callback);
  /// Reads the control log; waits for a new record until a point in time.
  void readControlLog(int I, const ReadLog &E, Millis Until);
  /// Reads the operator log; waits for a new record until a point in time.
  void readOperatorLog(int I, const ReadOperatorLog &E, Millis Until);
  void appendToControlLog(int I, const AppendToLog &E);
  void readHosts(int I, bool Second);
  /// @param Read its answer; null: it has failed
  void endHostRead(int I, std::uint64_t Incarnation, int Race,
                   const HostsRead *Read);
  void appendOperatorRecord(decltype(OperatorEntry::Content_) Record);
  bool canReachStore(int I) const;
  /// @return duration in ms of a call that the store answers or refuses
  Millis storeCallTime(int I) const;
  /// @param Timeout time in ms after which a call to an unreachable store fails
  /// @return duration in ms of a call that fails
  Millis failedCallTime(int I, Millis Timeout) const;
  bool canReach(int From, int To) const;

  std::vector<Process> Processes_;
  /// Records that a request was dispatched and lets its service answer.
  void answerAttempt(int I, const StartAttempt &Start);

  std::map<std::string, int> ProcessByAddress_;
  /// Prompt tokens of the requests that were not dispatched yet, by request ID.
  std::map<std::string, double> WaitingTokens_;
  std::multimap<Millis, std::function<void()>> ScheduledTasks_;
  /// What the store holds.
  struct StoreContents {
    std::vector<LogRecord> ControlLog_;
    std::vector<decltype(OperatorEntry::Content_)> OperatorLog_;
    std::vector<HostRow> Hosts_;
    std::int64_t HostsEnd_ = 1; ///< Number of records of hosts.
  };
  StoreContents Store_;
  StoreContents Copy_;
  /// Records of the operator log that operators have written since the copy.
  std::vector<decltype(OperatorEntry::Content_)> OperatorRecordsSinceCopy_;
  std::int64_t Era_ = 1;
  std::int64_t NextConfigVersion_ = 0;
  CallId NextCallId_ = 1;
  std::uint64_t RandomState_ = 88172645463325252ULL;

  std::uint64_t drawRandom();
};

} // namespace endivewharf
