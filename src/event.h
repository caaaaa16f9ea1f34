// Everything that can happen to the core: callers, upstreams, peers, the
// platform, time. The edges produce these; reduce() consumes them.
#pragma once

#include "messages.h"
#include "settings.h"

#include <string>
#include <tuple>
#include <variant>
#include <vector>

namespace endivewharf {

/// A caller's request after the edge has read it.
struct CallRequest {
  CallKind Kind_ = CallKind::Completion;
  std::string RequestId_; ///< Chosen by the caller; may be empty.
  std::string ApiKey_;
  std::string Model_;
  std::string Route_;  ///< `chat`, `completions` or the service's name.
  std::string Prompt_; ///< Text whose prefix upstreams may have cached.
  std::string Body_;
  std::int64_t MaxTokens_ = 256;
  bool Stream_ = false;
  Priority Priority_ = Priority::Interactive;
  Millis TimeLimit_ = 0; ///< 0: the default of the settings.
  std::string IdempotencyKey_;
  std::string Method_;
  std::string Path_;
  std::string ContentType_;
};

struct RequestArrived {
  CallId Call_ = 0;
  CallRequest Request_;
};

/// A caller asks for a request that it began earlier.
struct ResumeArrived {
  CallId Call_ = 0;
  std::string RequestId_;
  std::string ApiKey_;
  std::int64_t From_ = 0; ///< First token index that the caller lacks.
};

struct CallerGone {
  CallId Call_ = 0;
};

/// One piece of generated text.
struct AttemptToken {
  AttemptId Attempt_ = 0;
  std::int64_t Index_ = 0;
  std::string Text_;
};

/// The end marker of a stream.
struct AttemptEnded {
  AttemptId Attempt_ = 0;
  std::string FinishReason_;
  std::int64_t PromptTokens_ = 0;
  std::int64_t CachedTokens_ = 0;
};

struct AttemptFailed {
  AttemptId Attempt_ = 0;
  AttemptFailure Failure_ = AttemptFailure::Broken;
  bool Leaving_ = false; ///< The upstream said that it is going away.
  std::string Detail_;
};

/// A plain service's whole answer.
struct ServiceReply {
  AttemptId Attempt_ = 0;
  int Status_ = 0;
  std::string ContentType_;
  std::string Body_;
};

struct PeerReceived {
  PeerEnvelope Envelope_;
};

struct LogRead {
  LogOffset Earliest_ = 0; ///< Oldest offset that the log still has.
  LogOffset Next_ = 0;     ///< Where to read on.
  bool AtTail_ = false;    ///< Nothing was left to read.
  std::vector<LogEntry> Entries_;
};

struct LogReadFailed {};

/// The end of an append.
struct AppendEnded {
  std::uint64_t Append_ = 0;
  bool Accepted_ = false;
};

/// One host as the host list shows it.
struct HostRow {
  Life Host_;
  std::string Address_; ///< `http://ip:port`.
  std::string DataCentre_;
  std::string Zone_;
  UpstreamKind Kind_ = UpstreamKind::Model;
  std::string Service_; ///< Name of the plain service.
  bool Leaving_ = false;
  bool ChecksEpoch_ = false; ///< Refuses orders with an old fencing number.
  double Price_ = 1;         ///< Per hour.
};

struct HostsRead {
  std::vector<HostRow> Hosts_;
};

/// A reclaim notice of the cloud API.
struct ReclaimNotice {
  Life Host_;
  Millis TimeLeft_ = 0;
};

struct NoticesRead {
  std::vector<ReclaimNotice> Notices_;
};

/// A model and version that an engine has in memory.
struct LoadedVersion {
  std::string Model_;
  std::string Version_;

  bool operator==(const LoadedVersion &) const = default;
  bool operator<(const LoadedVersion &Other) const {
    return std::tie(Model_, Version_) < std::tie(Other.Model_, Other.Version_);
  }
};

/// What an upstream reports of itself, with a lag.
struct ProbeEnded {
  Life Host_;
  bool Reached_ = false;
  bool Leaving_ = false;
  int Running_ = 0;
  int Waiting_ = 0;
  int Slots_ = 0;
  std::vector<LoadedVersion> Loaded_;
};

struct Tick {};

/// The operator or the platform wants this process to end.
struct StopRequested {
  Millis TimeLeft_ = 0; ///< 0: the drain limit of the settings.
};

using EventBody =
    std::variant<RequestArrived, ResumeArrived, CallerGone, AttemptToken,
                 AttemptEnded, AttemptFailed, ServiceReply, PeerReceived,
                 LogRead, LogReadFailed, AppendEnded, HostsRead, NoticesRead,
                 ProbeEnded, Tick, StopRequested>;

/// An event with the only time and randomness that the core sees.
struct Event {
  Millis Now_ = 0;
  std::int64_t UnixMs_ = 0;
  std::uint64_t Random_ = 0;
  EventBody Body_;
};

} // namespace endivewharf
