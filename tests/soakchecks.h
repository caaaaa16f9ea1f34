// Observations of the fault soak and the checks of the guarantees on them.
#pragma once

#include "client.h"
#include "harness.h"

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace endivewharf::harness {

constexpr Millis NoTime = -1; // The event has not happened.
/// Drain timeout in the settings of the processes, in ms.
constexpr Millis DrainTimeout = 5000;
/// Longest time until the soak detects the exit of a process, in ms.
constexpr Millis ExitDetectionMargin = 300;

/// Times of one incarnation of an entry process, by the clock of the soak.
struct EntryIncarnation {
  Millis StartedAt_ = 0;
  Millis SigtermAt_ = NoTime;
  Millis KilledAt_ = NoTime;
  Millis EndedAt_ = NoTime;
  /// The process was frozen for some time between SIGTERM and its exit.
  bool FrozenAfterSigterm_ = false;
};

enum class RequestKind { Check, Booking, Stream };

/// One request as its caller observed it.
struct RequestObservation {
  std::string Id_;
  RequestKind Kind_ = RequestKind::Check;
  int Entry_ = 0;
  Millis SentAt_ = 0;
  Millis EndedAt_ = 0;
  TransferEnd End_ = TransferEnd::ConnectionBroken;
  int Status_ = 0;
  std::string Body_;
};

/// Period in which a fault was active.
struct FaultInterval {
  Millis From_ = 0;
  Millis To_ = 0;
  bool overlaps(Millis From, Millis To) const {
    return From_ <= To && From <= To_;
  }
};

/// Everything that the soak has recorded.
struct SoakRecord {
  /// All incarnations of each process, indexed by process.
  std::vector<std::vector<EntryIncarnation>> Incarnations_;
  /// Periods in which a process was frozen, indexed by process.
  std::vector<std::vector<FaultInterval>> FrozenIntervals_;
  std::vector<FaultInterval> ServerFaults_;
  std::vector<RequestObservation> Observations_;
};

/// Counts of violated guarantees, by name.
class GuaranteeViolations {
public:
  explicit GuaranteeViolations(std::int64_t Seed);

  /// Prints one violation and counts it.
  /// @param Guarantee one of the names that `printCounts` prints
  void recordViolation(const std::string &Guarantee, std::string_view Details);
  /// Prints all counts on one line.
  void printCounts() const;
  bool hasNoViolations() const;

  std::int64_t CheckedRequests_ = 0;
  std::int64_t ServedRequests_ = 0;

private:
  std::int64_t Seed_;
  std::map<std::string, std::int64_t> CountByGuarantee_;
};

/// Checks that no request was lost without a fault that explains it, that no
/// answer contains wrong content, that no booking was run twice, and that no
/// request was run after its caller was told that it was not.
/// @param RunsById number of times that the servers ran a request, by its
/// identifier
/// @param Out receives the violations
void checkRequests(const SoakRecord &Record,
                   const std::map<std::string, int> &RunsById,
                   GuaranteeViolations &Out);

/// Checks the control calls to the platform, which only the lease holder sends:
/// all usage reports of one window are equal, and no call has an older epoch
/// than a call before it, unless its sender was frozen.
/// @param Calls control calls in the order in which they arrived
/// @param Out receives the violations
void checkControlCalls(const SoakRecord &Record, const Json &Calls,
                       GuaranteeViolations &Out);

} // namespace endivewharf::harness
