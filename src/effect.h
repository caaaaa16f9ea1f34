// Everything that the core asks the edges to do, as plain data.
#pragma once

#include "event.h"

#include <map>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace endivewharf {

/// Sends a request to one upstream.
struct StartAttempt {
  AttemptId Attempt_ = 0;
  CallKind Kind_ = CallKind::Completion;
  std::string Address_;
  std::string RequestId_;
  std::string Model_;
  std::string Version_;
  std::string Route_;
  std::string Body_;
  std::string GeneratedText_; ///< Text generated so far, to go on from.
  std::int64_t NextIndex_ = 0;
  Priority Priority_ = Priority::Interactive;
  std::string Method_;
  std::string Path_;
  std::string ContentType_;
  std::string IdempotencyKey_;
  Millis FirstByteTimeout_ = 0;
  Millis IdleTimeout_ = 0;
  bool FreshConnection_ = false; ///< Do not reuse a connection.

  // Of routed requests only.
  std::string Host_;    ///< Name of the upstream's host, which it checks.
  Headers Headers_;     ///< The caller's, to be passed on.
  std::string Account_; ///< Empty: none.
  Millis TimeLeft_ = 0; ///< For the whole answer.
  bool Stream_ = false;
  std::int64_t ResumeAfter_ = NoEventIndex; ///< Go on after this event.
  int Urgency_ = 5;                         ///< 0 is first.
  Millis MaxIdleTime_ = 0;                  ///< Of a connection to reuse.
};

struct CancelAttempt {
  AttemptId Attempt_ = 0;
};

/// Sends the head of a streamed answer.
struct StartStream {
  CallId Call_ = 0;
  std::string RequestId_;
  std::string Model_;
};

struct SendToken {
  CallId Call_ = 0;
  std::int64_t Index_ = 0;
  std::string Text_;
};

/// Sends the end marker.
struct FinishStream {
  CallId Call_ = 0;
  std::string FinishReason_;
  std::int64_t Tokens_ = 0;
};

/// Ends a stream and says where to go on.
struct RedirectStream {
  CallId Call_ = 0;
  std::int64_t NextIndex_ = 0;
};

struct SendCompletion {
  CallId Call_ = 0;
  std::string RequestId_;
  std::string Model_;
  std::string Text_;
  std::string FinishReason_;
  std::int64_t PromptTokens_ = 0;
  std::int64_t Tokens_ = 0;
};

struct SendServiceAnswer {
  CallId Call_ = 0;
  std::string RequestId_;
  int Status_ = 0;
  std::string ContentType_;
  std::string Body_;
  bool Replayed_ = false; ///< Outcome of an earlier call with the same key.
};

/// Answers a routed request with an upstream's whole answer.
struct SendRoutedAnswer {
  CallId Call_ = 0;
  int Status_ = 0;
  Headers Headers_;
  std::string Body_;
};

/// Sends the head of an upstream's streamed answer.
struct StartRoutedStream {
  CallId Call_ = 0;
  int Status_ = 0;
  Headers Headers_;
};

/// Breaks the caller's connection off: its answer can't be finished.
struct AbortCall {
  CallId Call_ = 0;
};

struct SendError {
  CallId Call_ = 0;
  std::string RequestId_;
  CallError Error_;
};

/// Sends the same message to several peers.
struct SendToPeers {
  std::vector<std::string> Peers_;
  PeerMessage Message_;
};

struct SendToPeer {
  std::string Peer_;
  PeerMessage Message_;
};

/// Tells where a peer is reached.
struct SetPeerAddress {
  std::string Peer_;
  std::string Address_; ///< `ip:port`; empty: the peer is gone for good.
};

/// Replaces a peer link on which nothing arrives.
struct ReconnectPeer {
  std::string Peer_;
};

struct ReadLog {
  LogOffset FromOffset_ = 0;
  Millis MaxWait_ = 1000; ///< For records, where there are none yet.
};

struct AppendToLog {
  std::uint64_t AppendId_ = 0;
  std::vector<LogRecord> Records_;
  /// Nothing is to be written unless the log ends here; NoOffset: wherever.
  LogOffset ExpectedOffset_ = NoOffset;
};

/// Reads on in what operators write.
struct ReadOperatorLog {
  LogOffset FromOffset_ = 0;
  Millis MaxWait_ = 1000; ///< For records, where there are none yet.
};

/// Writes how a move to another version stands.
struct WriteRolloutStatus {
  std::string Service_;
  std::string ToVersion_;
  std::string Status_; ///< `running`, `complete` or `rolled_back`.
};

/// Orders a number of hosts for a service in a zone.
struct ScaleHosts {
  std::uint64_t ScaleRequestId_ = 0;
  LogOffset Epoch_ = NoOffset;
  std::string Service_;
  std::string Zone_;
  int WantedHosts_ = 0;
  bool Spot_ = false;
  Millis ValidUntil_ = 0; ///< End of the lease: not to be sent after it.
};

/// Reports what accounts used in one window.
struct ReportUsage {
  LogOffset Epoch_ = NoOffset;
  std::int64_t Window_ = 0;
  std::map<std::string, std::int64_t> Counts_; ///< Requests by account.
  Millis ValidUntil_ = 0; ///< End of the lease: not to be sent after it.
};

struct ReadHosts {};

struct ReadReclaimNotices {};

struct ProbeUpstream {
  InstanceId Host_;
  std::string Address_;
};

/// Desired state for an engine, with the lease's fencing number.
struct LoadModelVersion {
  InstanceId Host_;
  std::string Address_;
  LogOffset Epoch_ = NoOffset;
  std::string Model_;
  std::string Version_;
  Millis ValidUntil_ = 0; ///< End of the lease: not to be sent after it.
};

/// One structured log line.
struct WriteLogLine {
  std::string Event_;
  std::vector<std::pair<std::string, std::string>> Fields_;
  bool Warning_ = false;
};

/// Closes the listening socket once its backlog is empty.
struct CloseListener {};

/// Ends the process: nothing is left to do.
struct ExitProcess {};

using Effect = std::variant<
    StartAttempt, CancelAttempt, StartStream, SendToken, FinishStream,
    RedirectStream, SendCompletion, SendServiceAnswer, SendRoutedAnswer,
    StartRoutedStream, AbortCall, SendError, SendToPeer, SendToPeers,
    SetPeerAddress, ReconnectPeer, ReadLog, AppendToLog, ReadOperatorLog,
    WriteRolloutStatus, ScaleHosts, ReportUsage, ReadHosts, ReadReclaimNotices,
    ProbeUpstream, LoadModelVersion, WriteLogLine, CloseListener, ExitProcess>;

using Effects = std::vector<Effect>;

} // namespace endivewharf
