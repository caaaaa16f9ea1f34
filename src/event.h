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

/// A part of a prompt that other prompts may begin with as well.
struct PromptPart {
  std::string Id_;
  std::int64_t Tokens_ = 0;
};

/// No event of a stream.
constexpr std::int64_t NoEventIndex = -1;

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

  // Of routed requests only.
  std::string Host_;
  Headers Headers_;                     ///< To be passed on.
  std::vector<PromptPart> PromptParts_; ///< In order.
  std::int64_t PromptTokens_ = 0;       ///< As the caller states; 0: not told.
  std::int64_t ResumeAfter_ = NoEventIndex; ///< Last event that the caller has.
  std::int64_t LengthHint_ = 0; ///< The caller's guess of tokens to come.
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
  std::int64_t FromIndex_ = 0; ///< First token index that the caller lacks.
};

struct CallerDisconnected {
  CallId Call_ = 0;
};

/// The head of an upstream's streamed answer.
struct AttemptHead {
  AttemptId Attempt_ = 0;
  int Status_ = 0;
  Headers Headers_;
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

/// What an upstream's answer says of the upstream itself, whatever comes of
/// the attempt.
struct UpstreamNotice {
  AttemptId Attempt_ = 0;
  bool Leaving_ = false; ///< It takes no new work from now on.
  Millis Pause_ = 0;     ///< It wants nothing for so long; 0: not said.
};

struct AttemptFailed {
  AttemptId Attempt_ = 0;
  AttemptFailure Failure_ = AttemptFailure::ConnectionBroken;
  bool Leaving_ = false; ///< The upstream said that it is going away.
  std::string Detail_;
};

/// A plain service's whole answer.
struct ServiceAnswer {
  AttemptId Attempt_ = 0;
  int Status_ = 0;
  std::string ContentType_;
  std::string Body_;
  Headers Headers_;
};

struct PeerReceived {
  PeerEnvelope Envelope_;
};

struct LogRead {
  LogOffset EarliestOffset_ = 0; ///< Oldest offset that the log still has.
  LogOffset NextOffset_ = 0;     ///< Where to read on.
  bool AtTail_ = false;          ///< Nothing was left to read.
  std::vector<LogEntry> Entries_;
};

struct LogReadFailed {};

/// A configuration as operators of the platform have written it.
struct PublishedConfiguration {
  std::string Text_; ///< INI.
};

/// An operator's wish to move a service to hosts of another version.
struct RolloutRequest {
  std::string Service_;
  std::string ToVersion_;
  Millis Duration_ = 0;
};

/// One thing that operators have written, at its place in their log.
struct OperatorEntry {
  LogOffset Offset_ = NoOffset;
  std::variant<PublishedConfiguration, RolloutRequest> Content_;
};

struct OperatorLogRead {
  LogOffset NextOffset_ = 0; ///< Where to read on.
  std::vector<OperatorEntry> Entries_;
};

struct OperatorLogReadFailed {};

/// The end of an append.
struct AppendEnded {
  std::uint64_t AppendId_ = 0;
  bool Accepted_ = false;
  bool Refused_ = false; ///< Nothing was written: the log ended elsewhere.
};

struct HostsRead {
  std::vector<HostRow> Hosts_;
  LogOffset Version_ = 0; ///< Grows with each change; 0: not known.
};

struct HostsReadFailed {};

/// A reclaim notice of the cloud API.
struct ReclaimNotice {
  InstanceId Host_;
  Millis TimeLeft_ = 0;
};

struct ReclaimNoticesRead {
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
  InstanceId Host_;
  bool Reached_ = false;
  bool Leaving_ = false;
  int RunningRequests_ = 0;
  int WaitingRequests_ = 0;
  int Slots_ = 0;
  std::vector<LoadedVersion> Loaded_;
};

/// The platform's answer to a move's state.
struct RolloutStatusWritten {
  std::string Service_;
  std::string ToVersion_;
  std::string Status_;
  bool Accepted_ = false;
};

/// The platform's answer to an order of hosts.
struct ScaleAnswered {
  std::uint64_t ScaleRequestId_ = 0;
  bool Accepted_ = false;
  bool NoneAvailable_ = false; ///< There are none to be had at the moment.
};

/// The platform's answer to a usage report.
struct UsageReportAnswered {
  std::int64_t Window_ = 0;
  bool Accepted_ = false;
};

/// The settings file has changed; addresses hold until the next start.
struct SettingsChanged {
  Settings Settings_;
};

struct Tick {};

/// The operator or the platform wants this process to end.
struct StopRequested {
  Millis TimeLeft_ = 0; ///< 0: the drain limit of the settings.
};

using EventBody =
    std::variant<RequestArrived, ResumeArrived, CallerDisconnected, AttemptHead,
                 UpstreamNotice, AttemptToken, AttemptEnded, AttemptFailed,
                 ServiceAnswer, PeerReceived, LogRead, LogReadFailed,
                 AppendEnded, OperatorLogRead, OperatorLogReadFailed, HostsRead,
                 HostsReadFailed, ReclaimNoticesRead, ProbeEnded,
                 RolloutStatusWritten, ScaleAnswered, UsageReportAnswered,
                 SettingsChanged, Tick, StopRequested>;

/// An event with the only time and randomness that the core sees.
struct Event {
  Millis Now_ = 0;
  std::int64_t UnixMs_ = 0;
  std::uint64_t Random_ = 0;
  EventBody Body_;
};

} // namespace endivewharf
