// Effects that the reducer asks the edges to carry out, as plain data.
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
  std::string GeneratedText_; ///< Text generated so far, to be continued.
  std::int64_t NextIndex_ = 0;
  Priority Priority_ = Priority::Interactive;
  std::string Method_;
  std::string Path_;
  std::string ContentType_;
  std::string IdempotencyKey_;
  Millis FirstByteTimeout_ = 0;
  Millis IdleTimeout_ = 0; ///< Limit between two bytes; 0: none.
  /// The attempt opens a connection of its own, which is not reused either.
  bool FreshConnection_ = false;

  // Fields of routed requests only.
  std::string Host_;    ///< Host name, which the upstream verifies.
  Headers Headers_;     ///< The caller's headers, to forward.
  std::string Account_; ///< Name of the client account; empty: none.
  Millis TimeLeft_ = 0; ///< Time left for the whole answer.
  bool Stream_ = false;
  bool ReportsLimit_ = false; ///< Report also that an answer names no limit.
  std::int64_t ResumeAfter_ = NoEventIndex; ///< Last event already received.
  int Urgency_ = 5;                         ///< 0 is the most urgent.
  /// Longest time for which a reused connection may have been idle; 0: the
  /// HTTP library's default.
  Millis MaxIdleTime_ = 0;
  /// The request goes to a peer, which passes it to an upstream.
  std::optional<RelayInfo> Relay_;
};

struct CancelAttempt {
  AttemptId Attempt_ = 0;
};

/// Sends a caller the head of a streamed completion.
struct StartStream {
  CallId Call_ = 0;
  std::string RequestId_;
  std::string Model_;
};

/// Sends a caller one token of a completion or one event of a routed stream.
struct SendToken {
  CallId Call_ = 0;
  std::int64_t Index_ = 0;
  std::string Text_;
};

/// Ends a stream; a completion's stream gets its end marker.
struct FinishStream {
  CallId Call_ = 0;
  std::string FinishReason_;
  std::int64_t Tokens_ = 0;
};

/// Ends a completion's stream and tells the caller to resume it at another
/// process.
struct RedirectStream {
  CallId Call_ = 0;
  std::int64_t NextIndex_ = 0; ///< Token index to resume from.
};

/// Answers with a whole completion.
struct SendCompletion {
  CallId Call_ = 0;
  std::string RequestId_;
  std::string Model_;
  std::string Text_;
  std::string FinishReason_;
  std::int64_t PromptTokens_ = 0;
  std::int64_t Tokens_ = 0;
};

/// Answers a call to a plain service.
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

/// Aborts the caller's connection, because its answer cannot be completed.
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

/// Sets or removes the address of a peer.
struct SetPeerAddress {
  std::string Peer_;
  std::string Address_; ///< `ip:port`; empty: the peer is removed.
};

/// Replaces a peer link over which digests are not acknowledged.
struct ReconnectPeer {
  std::string Peer_;
};

struct ReadLog {
  LogOffset FromOffset_ = 0;
  Millis MaxWait_ = 1000; ///< Longest wait for records at the log's tail.
};

struct AppendToLog {
  std::uint64_t AppendId_ = 0;
  std::vector<LogRecord> Records_;
  /// The append is refused unless the log ends here; NoOffset: unconditional.
  LogOffset ExpectedOffset_ = NoOffset;
};

/// Reads the operator log.
struct ReadOperatorLog {
  LogOffset FromOffset_ = 0;
  Millis MaxWait_ = 1000; ///< Longest wait for records at the log's tail.
  bool Second_ = false;   ///< Beside a silent read, on a new connection.
};

/// Publishes the status of a rollout for operators.
struct WriteRolloutStatus {
  std::string Service_;
  std::string ToVersion_;
  std::string Status_; ///< `running`, `complete` or `rolled_back`.
};

/// Requests a number of hosts for a service in a zone.
struct ScaleHosts {
  std::uint64_t ScaleRequestId_ = 0;
  LogOffset Epoch_ = NoOffset;
  std::string Service_;
  std::string Zone_;
  int WantedHosts_ = 0;
  bool Spot_ = false;
  Millis ValidUntil_ = 0; ///< End of the lease, after which it is not sent.
};

/// Reports the usage of accounts in one window.
struct ReportUsage {
  LogOffset Epoch_ = NoOffset;
  std::int64_t Window_ = 0;
  std::map<std::string, std::int64_t> Counts_; ///< Requests by account.
  Millis ValidUntil_ = 0; ///< End of the lease, after which it is not sent.
};

struct ReadHosts {
  bool Second_ = false; ///< Beside a silent read, on a new connection.
};

struct ReadReclaimNotices {};

struct ProbeUpstream {
  InstanceId Host_;
  std::string Address_;
};

/// Commands an engine to load a model version, with the lease's epoch as the
/// fencing token.
struct LoadModelVersion {
  InstanceId Host_;
  std::string Address_;
  LogOffset Epoch_ = NoOffset;
  std::string Model_;
  std::string Version_;
  Millis ValidUntil_ = 0; ///< End of the lease, after which it is not sent.
};

/// One structured log line.
struct WriteLogLine {
  std::string Event_;
  std::vector<std::pair<std::string, std::string>> Fields_;
  bool Warning_ = false;
};

/// Closes the listening socket once its backlog is empty.
struct CloseListener {};

/// Ends the process after its work is done.
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
