// Learns how fast each upstream is, from the times that its answers take.
//
// Two things are kept apart. What a request asks for (tokens of its prompt that
// must be read, streams that run beside it) is in the typical time of the
// service: a line through the times of all its hosts. How a host differs is in
// its slowness: the median of its times, each divided by the typical time of
// the same work. A long prompt raises both, so it makes no host slow.
//
// The state is plain data and the functions know nothing of other modules.
#pragma once

#include "messages.h"

#include <array>
#include <deque>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace endivewharf {

/// What a time was measured of. The numbers are part of the messages.
enum class TimeKind {
  FirstEvent, ///< First event of a stream, by tokens of the prompt to read.
  Pause,      ///< Mean pause between events, by streams in flight.
  Answer      ///< Whole answer of a plain service.
};
constexpr std::size_t TimeKindCount = 3;

/// One measured time.
struct TimeSample {
  TimeKind Kind_ = TimeKind::FirstEvent;
  std::string_view Service_;
  std::uint32_t UpstreamHash_ = 0; ///< instanceHash() of the host.
  double Units_ = 0;  ///< Tokens or streams, by the kind; 0 for answers.
  double WaitMs_ = 0; ///< Wait behind other requests that was expected.
  double Ms_ = 0;     ///< Time measured.
};

/// Typical time of a service's hosts as a line: base and time for each unit.
struct TypicalTime {
  double BaseMs_ = 0;
  double PerUnitMs_ = 0;
  double Samples_ = 0; ///< Measured times behind it; 0: a default.
};

/// Classes by which times relative to the typical time are counted: each ends
/// at a root of two times where it begins, and the typical time is in the
/// middle of the fourth one, so that hosts that hardly differ count as equal.
constexpr std::size_t PaceClasses = 8;
using PaceCounts = std::array<std::uint32_t, PaceClasses>;

/// What is known of one incarnation of a host.
struct UpstreamSpeed {
  PaceCounts Present_{}; ///< Times measured here in the present window.
  PaceCounts Last_{};    ///< Those of the last window that has ended.
  double Slowness_ = 1;  ///< Time for the same work, relative to the typical.
};

/// What is known of a service.
struct ServiceSpeed {
  struct Point {
    double Units_ = 0;
    double Ms_ = 0; ///< Without the expected wait.
  };
  /// Last times measured here, by kind.
  std::array<std::deque<Point>, TimeKindCount> Recent_;
  /// Typical times in use, from all processes.
  std::array<TypicalTime, TimeKindCount> Typical_;
};

/// Part of the state of a process.
struct SpeedState {
  struct Received {
    SpeedReport Report_;
    Millis At_ = 0;
  };
  std::unordered_map<std::uint32_t, UpstreamSpeed> Upstreams_; ///< By hash.
  std::map<std::string, ServiceSpeed, std::less<>> Services_;
  std::map<std::string, Received> Reports_; ///< Last ones, by peer.
  Millis WindowBeganAt_ = 0;
  Millis SentAt_ = 0;
  Millis LoggedAt_ = 0;
};

/// Hosts that may get work, by service.
using HostHashes = std::map<std::string, std::vector<std::uint32_t>>;

/// Least, middle and largest slowness of a service's hosts.
struct SlownessRange {
  double Least_ = 1;
  double Median_ = 1;
  double Largest_ = 1;
};

/// Length in ms of a window, after which speeds are learnt and reported.
constexpr Millis SpeedWindow = 2000;

// --- What is expected ---

/// @return time that a host takes for the same work, relative to the typical
///   one of its service; 1 for a host of which nothing is known
double slowness(const SpeedState &S, std::uint32_t UpstreamHash);

/// @param Service service of the platform; empty: engines of our own interface
/// @return typical time in use; a default while nothing has been measured
TypicalTime typicalTime(const SpeedState &S, TimeKind Kind,
                        std::string_view Service);

/// @return time in ms that a typical host of a service takes to read tokens of
///   a prompt
double typicalPromptMs(const SpeedState &S, std::string_view Service,
                       double Tokens);

/// @return time in ms that a host takes to read tokens of a prompt
double promptMs(const SpeedState &S, std::string_view Service,
                std::uint32_t UpstreamHash, double Tokens);

/// @return time in ms that a host takes for work without any prompt: until the
///   first event, between events beside no other stream, or for an answer
double baseMs(const SpeedState &S, TimeKind Kind, std::string_view Service,
              std::uint32_t UpstreamHash);

/// @return time in ms by which streams in flight at an engine of our own
///   interface delay a new one
double loadDelayMs(const SpeedState &S, std::uint32_t UpstreamHash,
                   double Streams);

/// @return range over hosts; all 1 without any
SlownessRange slownessRange(const SpeedState &S,
                            std::span<const std::uint32_t> Hosts);

// --- Learning ---

/// Counts a measured time. Until the typical time of its kind is known it only
/// helps to find that.
void recordTime(SpeedState &S, const TimeSample &Sample);

/// Keeps a peer's report, which replaces its last one.
void keepSpeedReport(SpeedState &S, const std::string &Peer, SpeedReport Report,
                     Millis Now);

/// @param Peers peers whose last reports are added, unless they are old
/// @return what was measured here in the last window, with those reports
SpeedReport totalSpeeds(const SpeedState &S, std::span<const std::string> Peers,
                        Millis Now);

/// Ends the window and begins the next one.
void endSpeedWindow(SpeedState &S, Millis Now);

/// Takes over what all processes have measured, and forgets hosts that are
/// gone.
/// @param Total report of all processes for a window
/// @param Hosts hosts that may get work
void learnSpeeds(SpeedState &S, const SpeedReport &Total,
                 const HostHashes &Hosts);

} // namespace endivewharf
