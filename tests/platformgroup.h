// Many processes on the operators' platform as states of the reducer: messages
// take a while and may be lost, the store is shared, processes can be cut off,
// frozen and killed. No sockets, no clock but its own.
#pragma once

#include "core.h"

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace endivewharf {

class PlatformGroup {
public:
  static constexpr Millis StepDuration = 50; // ms, as the processes' tick
  static constexpr Millis MessageDelay = 50; // ms from process to process
  static constexpr int DataCentreCount = 5;

  /// @param Size processes, spread over the data centres
  /// @param Config text of the configuration that operators have published
  PlatformGroup(int Size, std::string Config);

  /// Lets time pass.
  /// @param EachStep called after each step
  void runFor(
      Millis Time, const std::function<void()> &EachStep = [] {});

  /// Ends a process and starts its next life a while later; 0: never.
  void killProcess(int I, Millis RestartAfter);
  void freezeProcess(int I, Millis Time);

  void publishConfig(std::string Config);
  void setHosts(std::vector<HostRow> Hosts);

  /// Sends a request to a process.
  /// @return true if it was dispatched at once
  bool sendRequest(int I, const std::string &Path, const std::string &Key,
                   std::int64_t PromptTokens);

  State &processState(int I) { return Processes_[I].State_; }
  bool isRunning(int I) const { return Processes_[I].Running_; }
  int size() const { return static_cast<int>(Processes_.size()); }
  /// Process that holds the lease; -1: none.
  int leaseHolder() const;
  static std::string processName(int I) { return "entry-" + std::to_string(I); }

  std::set<int> IsolatedDataCentres_; ///< Neither store nor others are reached.
  std::set<int> ProcessesWithoutStore_;
  std::set<int> IsolatedProcesses_; ///< Each by itself; callers reach them.
  double PeerMessageLossShare_ = 0; ///< Of messages.
  Millis Now_ = 100000;
  std::int64_t MessageCount_ = 0;
  std::int64_t StoreCallCount_ = 0;
  std::int64_t ControlCallCount_ = 0;
  /// What the platform got as usage, by window.
  std::map<std::int64_t, UsageCounts> ReportedUsage_;

private:
  struct Process {
    State State_;
    bool Running_ = true;
    Millis StartAt_ = 0;
    Millis FrozenUntil_ = 0;
    std::uint64_t Incarnation_ = 1;
  };

  void startProcess(int I);
  void reduceEvent(int I, EventBody Body);
  void executeEffect(int I, const Effect &E);
  void sendMessage(int I, const std::string &Peer, const PeerMessage &Message);
  void scheduleEvent(Millis Delay, int I, std::function<EventBody()> Body);
  /// Calls back after a step, if the process still lives then.
  void scheduleNextStep(int I, std::function<void()> Again);
  void readControlLog(int I, const ReadLog &E, Millis Until);
  void readOperatorLog(int I, const ReadOperatorLog &E, Millis Until);
  void appendToControlLog(int I, const AppendToLog &E);
  bool canReachStore(int I) const;
  bool canReach(int From, int To) const;

  std::vector<Process> Processes_;
  std::map<std::string, int> ProcessByAddress_;
  std::multimap<Millis, std::function<void()>> ScheduledTasks_;
  std::vector<LogRecord> ControlLog_;
  std::vector<std::string> OperatorLog_;
  std::vector<HostRow> Hosts_;
  LogOffset HostsVersion_ = 1;
  CallId NextCallId_ = 1;
  std::uint64_t RandomState_ = 88172645463325252ULL;

  std::uint64_t drawRandom();
};

} // namespace endivewharf
