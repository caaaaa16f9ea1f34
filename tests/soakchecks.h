// What the soak saw, and whether the promises held in it.
#pragma once

#include "client.h"
#include "harness.h"

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace endivewharf::harness {

constexpr Millis NoTime = -1;
constexpr Millis DrainTimeout = 5000;       // ms, as in the processes' settings
constexpr Millis ExitDetectionMargin = 300; // ms until an exit is noticed here

/// One life of an entry process, by the clock of the soak.
struct EntryIncarnation {
  Millis StartedAt_ = 0;
  Millis SigtermAt_ = NoTime;
  Millis KilledAt_ = NoTime;
  Millis EndedAt_ = NoTime;
  bool FrozenAfterSigterm_ =
      false; ///< Stood still for a while after the stop signal.
};

enum class RequestKind { Check, Booking, Stream };

/// What a caller saw of one request.
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

/// A time in which something was at fault.
struct FaultInterval {
  Millis From_ = 0;
  Millis To_ = 0;
  bool overlaps(Millis From, Millis To) const {
    return From_ <= To && From <= To_;
  }
};

struct SoakRecord {
  std::vector<std::vector<EntryIncarnation>> Incarnations_; ///< By process.
  std::vector<std::vector<FaultInterval>> FrozenIntervals_; ///< By process.
  std::vector<FaultInterval> ServerFaults_;
  std::vector<RequestObservation> Observations_;
};

/// Counts of broken promises, by name.
class GuaranteeViolations {
public:
  explicit GuaranteeViolations(std::int64_t Seed);

  /// Prints and counts one.
  void recordViolation(const std::string &Promise, std::string_view What);
  /// Prints all counts in one line.
  void printCounts() const;
  bool hasNoViolations() const;

  std::int64_t CheckedRequests_ = 0;
  std::int64_t ServedRequests_ = 0;

private:
  std::int64_t Seed_;
  std::map<std::string, std::int64_t> CountByGuarantee_;
};

/// Checks all requests.
/// @param Runs how often servers ran a request, by its id
void checkRequests(const SoakRecord &Record,
                   const std::map<std::string, int> &Runs,
                   GuaranteeViolations &Out);

/// Checks calls to the platform that are one process's duty at a time: reports
/// of one window are all the same, and an older holder never acts again.
/// @param Calls in the order in which they came
void checkControlCalls(const SoakRecord &Record, const Json &Calls,
                       GuaranteeViolations &Out);

} // namespace endivewharf::harness
