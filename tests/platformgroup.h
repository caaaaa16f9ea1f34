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
  static constexpr Millis Step = 50;        // ms, as the processes' tick
  static constexpr Millis MessageTime = 50; // ms from process to process
  static constexpr int DataCentres = 5;

  /// @param Size processes, spread over the data centres
  /// @param Config text of the configuration that operators have published
  PlatformGroup(int Size, std::string Config);

  /// Lets time pass.
  /// @param EachStep called after each step
  void run(
      Millis Time, const std::function<void()> &EachStep = [] {});

  /// Ends a process and starts its next life a while later; 0: never.
  void kill(int I, Millis RestartAfter);
  void freeze(int I, Millis Time);

  void publish(std::string Config);
  void setHosts(std::vector<HostRow> Hosts);

  /// Sends a request to a process.
  /// @return true if it was dispatched at once
  bool ask(int I, const std::string &Path, const std::string &Key,
           std::int64_t PromptTokens);

  State &at(int I) { return Processes_[I].State_; }
  bool isUp(int I) const { return Processes_[I].Up_; }
  int size() const { return static_cast<int>(Processes_.size()); }
  /// Process that holds the lease; -1: none.
  int holder() const;
  static std::string nameOf(int I) { return "entry-" + std::to_string(I); }

  std::set<int> CutDataCentres_; ///< Neither store nor others are reached.
  std::set<int> CutFromStore_;
  std::set<int> CutProcesses_; ///< Each by itself; callers reach them.
  double Loss_ = 0;            ///< Of messages.
  Millis Now_ = 100000;
  std::int64_t Messages_ = 0;
  std::int64_t StoreCalls_ = 0;
  std::int64_t DutyCalls_ = 0;
  /// What the platform got as usage, by window.
  std::map<std::int64_t, UsageCounts> Reported_;

private:
  struct Process {
    State State_;
    bool Up_ = true;
    Millis StartAt_ = 0;
    Millis FrozenUntil_ = 0;
    std::uint64_t Life_ = 1;
  };

  void start(int I);
  void feed(int I, EventBody Body);
  void carryOut(int I, const Effect &E);
  void sendTo(int I, const std::string &Peer, const PeerMessage &Message);
  void later(Millis Delay, int I, std::function<EventBody()> Body);
  /// Calls back after a step, if the process still lives then.
  void waitFor(int I, std::function<void()> Again);
  void readOwn(int I, const ReadLog &E, Millis Until);
  void readOperators(int I, const ReadOperator &E, Millis Until);
  void append(int I, const AppendToLog &E);
  bool reachesStore(int I) const;
  bool reaches(int From, int To) const;

  std::vector<Process> Processes_;
  std::map<std::string, int> ByAddress_;
  std::multimap<Millis, std::function<void()>> Pending_;
  std::vector<LogRecord> Log_;
  std::vector<std::string> Operators_;
  std::vector<HostRow> Hosts_;
  LogOffset HostsVersion_ = 1;
  CallId NextCall_ = 1;
  std::uint64_t Random_ = 88172645463325252ULL;

  std::uint64_t draw();
};

} // namespace endivewharf
