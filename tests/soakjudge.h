// What the soak saw, and whether the promises held in it.
#pragma once

#include "client.h"
#include "harness.h"

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace endivewharf::harness {

constexpr Millis Never = -1;
constexpr Millis DrainLimit = 5000; // ms, as in the processes' settings
constexpr Millis ExitSlack = 300;   // ms until an exit is noticed here

/// One life of an entry process, by the clock of the soak.
struct EntryLife {
  Millis StartedAt_ = 0;
  Millis TermAt_ = Never;
  Millis KilledAt_ = Never;
  Millis EndedAt_ = Never;
  bool Frozen_ = false; ///< Stood still for a while after the stop signal.
};

enum class RequestKind { Check, Booking, Stream };

/// What a caller saw of one request.
struct Seen {
  std::string Id_;
  RequestKind Kind_ = RequestKind::Check;
  int Entry_ = 0;
  Millis SentAt_ = 0;
  Millis EndedAt_ = 0;
  TransferEnd End_ = TransferEnd::Broken;
  int Status_ = 0;
  std::string Body_;
};

/// A time in which something was at fault.
struct Interval {
  Millis From_ = 0;
  Millis To_ = 0;
  bool overlaps(Millis From, Millis To) const {
    return From_ <= To && From <= To_;
  }
};

struct SoakRecord {
  std::vector<std::vector<EntryLife>> Lives_; ///< By process.
  std::vector<std::vector<Interval>> Frozen_; ///< By process.
  std::vector<Interval> ServerFaults_;
  std::vector<Seen> Seen_;
};

/// Counts of broken promises, by name.
class Verdict {
public:
  explicit Verdict(std::int64_t Seed);

  /// Prints and counts one.
  void report(const std::string &Promise, std::string_view What);
  /// Prints all counts in one line.
  void print() const;
  bool isClean() const;

  std::int64_t Requests_ = 0;
  std::int64_t Served_ = 0;

private:
  std::int64_t Seed_;
  std::map<std::string, std::int64_t> Broken_;
};

/// Checks all requests.
/// @param Runs how often servers ran a request, by its id
void judgeRequests(const SoakRecord &Record,
                   const std::map<std::string, int> &Runs, Verdict &Out);

/// Checks calls to the platform that are one process's duty at a time: reports
/// of one window are all the same, and an older holder never acts again.
/// @param Calls in the order in which they came
void judgeDuties(const SoakRecord &Record, const Json &Calls, Verdict &Out);

} // namespace endivewharf::harness
