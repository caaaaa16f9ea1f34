// State about the peers, as plain data: which are alive, their last summaries,
// and which process aggregates for which. Part of the state in state.h.
#pragma once

#include "messages.h"

#include <deque>
#include <map>
#include <string>
#include <unordered_map>

namespace endivewharf {

/// One peer.
struct PeerState {
  PeerRow Row_;
  Millis HeartbeatAdvancedAt_ = 0; ///< When the heartbeat last increased.
  Millis InstanceKnownSince_ = 0;  ///< When this incarnation became known.
  std::uint64_t DigestSequenceSent_ = 0;     ///< Last digest sent to the peer.
  std::uint64_t DigestSequenceReceived_ = 0; ///< Last digest from the peer.
  std::uint64_t DigestSequenceAcknowledged_ =
      0; ///< Last digest the peer received.
  /// `DigestSequenceSent_` when the link was last replaced.
  std::uint64_t SequenceAtReconnect_ = 0;
  bool Alive_ = false;
  /// Its last summary, without this process's own report.
  SummaryMessage Summary_;
  Millis SummaryReceivedAt_ = -1;
  Millis UsageReceivedAt_ = -1; ///< When it last sent its usage counts.
  /// Not eligible as aggregator until then, because its summaries stopped.
  Millis SuspectUntil_ = 0;
  /// When it last stated that it reaches a service, by service.
  std::map<std::string, Millis> ReachedAt_;
};

/// What a store reader has published, received directly or through others.
struct StoreReaderState {
  StoreReaderRow Row_;     ///< Last row, with the ages as received.
  Millis HostsReadAt_ = 0; ///< Its host list read, on this process's clock.
};

/// All peers and this process's role among them.
struct MembershipState {
  std::map<std::string, PeerState> Peers_; ///< By name.
  /// Largest number of processes alive at once or named by a peer, including
  /// this one.
  std::size_t PeakClusterSize_ = 1;
  /// The control log names an earlier incarnation of this process, so the other
  /// processes already count it.
  bool KnownFromBefore_ = false;
  Millis SeedsContactedAt_ = 0;
  bool JoinQueued_ = false; ///< The join record of this incarnation is queued.
  std::unordered_map<std::uint32_t, std::string> NameByInstanceHash_;
  std::uint64_t Heartbeat_ = 0; ///< This process's own.
  Millis DigestSentAt_ = 0;

  /// Name of the aggregator that this process reports to; empty: this process
  /// is an aggregator.
  std::string Aggregator_;
  Millis AggregatorSince_ = 0; ///< When `Aggregator_` last changed.
  /// The last reports as sent, to be subtracted from summaries that include
  /// them.
  std::deque<SummaryMessage> SentReports_;
  std::uint64_t ReportSequence_ = 0;
  Millis SummarySentAt_ = 0;
  Millis ReportSentAt_ = 0;
  Millis UsageSentAt_ = 0;
  std::map<std::string, StoreReaderState> StoreReaders_; ///< By name.
  std::map<std::string, Millis> Aggregators_; ///< When last named, by name.
  /// Hash of the host list and configuration version that was last published.
  std::uint64_t PublishedStateHash_ = 0;
  bool OthersLoadsChanged_ = false; ///< Peers' loads must be totalled again.
};

} // namespace endivewharf
