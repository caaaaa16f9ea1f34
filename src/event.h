// Events from callers, upstreams, peers, the platform and the clock, as plain
// data. The edges produce them and reduce() consumes them.
#pragma once

#include "messages.h"
#include "settings.h"

#include <optional>
#include <string>
#include <tuple>
#include <variant>
#include <vector>

namespace endivewharf {

/// A part of a prompt, which other prompts may share as part of their prefix.
struct PromptPart {
  std::string Id_;
  std::int64_t Tokens_ = 0;
};

/// Index that stands for no event of a stream.
constexpr std::int64_t NoEventIndex = -1;

/// How a peer has passed a request on.
struct RelayInfo {
  std::string Origin_;   ///< Name of the peer.
  std::string Account_;  ///< Client account that it has checked and charged.
  int MaxUpstreams_ = 1; ///< Upstreams that may still run the request.
};

/// A caller's request as the edge has parsed it.
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
  Millis TimeLimit_ = 0; ///< Time for the answer; 0: the settings' default.
  std::string IdempotencyKey_;
  std::string Method_;
  std::string Path_;
  std::string ContentType_;

  // Fields of routed requests only.
  std::string Host_;                    ///< Host name that the caller sent.
  Headers Headers_;                     ///< Headers to forward.
  std::vector<PromptPart> PromptParts_; ///< In the order of the prompt.
  std::int64_t PromptTokens_ = 0;       ///< Size of the prompt; 0: not stated.
  /// Last event that the caller has received.
  std::int64_t ResumeAfter_ = NoEventIndex;
  /// Number of tokens that the caller expects; 0: not stated.
  std::int64_t LengthHint_ = 0;
  std::optional<RelayInfo> Relayed_; ///< Nothing: its caller has sent it here.
};

struct RequestArrived {
  CallId Call_ = 0;
  CallRequest Request_;
};

/// A caller asks to resume a request that it sent earlier.
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

/// One token of a completion or one event of a routed stream.
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

/// What an upstream's answer says about the upstream itself, independent of
/// the attempt's result.
struct UpstreamNotice {
  AttemptId Attempt_ = 0;
  bool Leaving_ = false; ///< The upstream takes no new work any more.
  Millis Pause_ = 0;     ///< Time without new requests; 0: not stated.
  /// Requests per second that it takes from all processes together; nothing: it
  /// names no limit.
  std::optional<double> Limit_;
};

struct AttemptFailed {
  AttemptId Attempt_ = 0;
  AttemptFailure Failure_ = AttemptFailure::ConnectionBroken;
  bool Leaving_ = false; ///< The upstream stated that it is leaving.
  std::string Detail_;
};

/// A complete answer that is not a stream.
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
  LogOffset EarliestOffset_ = 0; ///< Oldest offset that the log retains.
  LogOffset NextOffset_ = 0;     ///< Offset to read next.
  bool AtTail_ = false;          ///< The read reached the end of the log.
  std::vector<LogEntry> Entries_;
};

struct LogReadFailed {};

/// A configuration that operators have published in the operator log.
struct PublishedConfiguration {
  std::string Text_; ///< INI text.
  /// Number that the operators have given it; later ones are larger. Nothing:
  /// its position in the log counts.
  std::optional<std::int64_t> Version_;
};

/// An operator's request to roll a service out to hosts of another version.
struct RolloutRequest {
  std::string Service_;
  std::string ToVersion_;
  Millis Duration_ = 0;
};

/// Operators evacuate a data centre, or take its evacuation back.
struct EvacuationRequest {
  std::string DataCentre_;
  bool Active_ = true; ///< False: it is taken back.
};

/// One entry of the operator log.
struct OperatorEntry {
  LogOffset Offset_ = NoOffset;
  std::variant<PublishedConfiguration, RolloutRequest, EvacuationRequest>
      Content_;
};

struct OperatorLogRead {
  LogOffset NextOffset_ = 0; ///< Offset to read next.
  std::vector<OperatorEntry> Entries_;
  /// The entries are the newest of each key, not those since the last read.
  bool NewestPerKey_ = false;
  /// Moment on the monotonic clock, in ms, for which it is complete; below 0:
  /// the time of the event.
  Millis CompleteAt_ = -1;
};

struct OperatorLogReadFailed {};

/// The result of an append; neither accepted nor refused: not known.
struct AppendEnded {
  std::uint64_t AppendId_ = 0;
  bool Accepted_ = false;
  bool Refused_ = false; ///< Not written: the log ended elsewhere.
};

struct HostsRead {
  std::vector<HostRow> Hosts_;
  LogOffset Version_ = 0; ///< Version of the list; 0: unknown.
  /// Moment on the monotonic clock, in ms, for which it is complete; below 0:
  /// the time of the event.
  Millis CompleteAt_ = -1;
};

struct HostsReadFailed {};

/// A notice from the cloud API that a host will be reclaimed.
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

/// The result of a probe: what an upstream reports about itself, with a lag.
struct ProbeEnded {
  InstanceId Host_;
  bool Reached_ = false; ///< A valid answer arrived.
  bool Leaving_ = false;
  int RunningRequests_ = 0;
  int WaitingRequests_ = 0;
  int Slots_ = 0;
  std::vector<LoadedVersion> Loaded_;
};

/// The platform's answer to a rollout status.
struct RolloutStatusWritten {
  std::string Service_;
  std::string ToVersion_;
  std::string Status_;
  bool Accepted_ = false;
};

/// The platform's answer to a scale request.
struct ScaleAnswered {
  std::uint64_t ScaleRequestId_ = 0;
  bool Accepted_ = false;
  bool NoneAvailable_ = false; ///< No such hosts are available for now.
};

/// The platform's answer to a usage report.
struct UsageReportAnswered {
  std::int64_t Window_ = 0;
  bool Accepted_ = false;
};

/// The settings file has changed; changes of addresses need a restart.
struct SettingsChanged {
  Settings Settings_;
};

/// The settings file has changed and has errors.
struct SettingsRejected {
  std::size_t Errors_ = 0;
};

struct Tick {};

/// The operator or the platform asks this process to stop.
struct StopRequested {
  Millis TimeLeft_ = 0; ///< Time to stop; 0: the settings' drain limit.
};

using EventBody =
    std::variant<RequestArrived, ResumeArrived, CallerDisconnected, AttemptHead,
                 UpstreamNotice, AttemptToken, AttemptEnded, AttemptFailed,
                 ServiceAnswer, PeerReceived, LogRead, LogReadFailed,
                 AppendEnded, OperatorLogRead, OperatorLogReadFailed, HostsRead,
                 HostsReadFailed, ReclaimNoticesRead, ProbeEnded,
                 RolloutStatusWritten, ScaleAnswered, UsageReportAnswered,
                 SettingsChanged, SettingsRejected, Tick, StopRequested>;

/// An event with its time and a random number, the reducer's only sources of
/// time and randomness.
struct Event {
  Millis Now_ = 0;
  std::int64_t UnixMs_ = 0;
  std::uint64_t Random_ = 0;
  EventBody Body_;
};

} // namespace endivewharf
