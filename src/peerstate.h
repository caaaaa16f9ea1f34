// What a process knows of its peers, as plain data: who lives, what each has
// told, who sums up for whom. Part of the state in state.h.
#pragma once

#include "messages.h"

#include <deque>
#include <map>
#include <string>
#include <unordered_map>

namespace endivewharf {

struct PeerState {
  PeerRow Row_;
  Millis HeartbeatAdvancedAt_ = 0; ///< When the heartbeat last grew.
  Millis InstanceKnownSince_ = 0;  ///< When this life was first heard of.
  std::uint64_t SequenceSent_ = 0;
  std::uint64_t SequenceReceived_ = 0;
  std::uint64_t SequenceAcknowledged_ = 0;
  std::uint64_t SequenceAtReconnect_ =
      0; ///< Sequence at the link's last replacement.
  bool Alive_ = false;
  /// What it said last of its load, accounts and usage.
  SummaryMessage Summary_;
  Millis SummaryReceivedAt_ = -1;
  std::uint64_t SummaryIncarnation_ = 0; ///< Incarnation that told them.
  bool IncludesSelf_ = false;   ///< Its sums of all have had ours in them.
  Millis UsageReceivedAt_ = -1; ///< When it told what began to run there.
  Millis SuspectUntil_ = 0;     ///< No collector until then: it was silent.
};

/// What a follower has told, by itself or through others.
struct StoreReaderState {
  StoreReaderRow Row_; ///< Ages count from `HeardAt_`.
  Millis LocalReadAt_ = 0;
};

struct MembershipState {
  std::map<std::string, PeerState> Peers_; ///< By name.
  std::size_t PeakClusterSize_ =
      1; ///< Most living processes at once, with this one.
  Millis SeedsContactedAt_ = 0;
  bool Joined_ = false; ///< This life's address is in the log.
  std::unordered_map<std::uint32_t, std::string>
      NameByInstanceHash_; ///< By hash.
  std::uint64_t Heartbeat_ = 0;
  Millis DigestSentAt_ = 0;

  std::string Aggregator_; ///< That this process reports to; empty: itself.
  Millis AggregatorSince_ = 0;
  std::deque<SummaryMessage>
      SentReports_; ///< The last ones sent, as they were.
  std::uint64_t ReportSequence_ = 0;
  Millis SummarySentAt_ = 0;
  Millis ReportSentAt_ = 0;
  Millis UsageSentAt_ = 0;
  std::map<std::string, StoreReaderState> StoreReaders_; ///< By name.
  std::map<std::string, Millis> Aggregators_; ///< By name: when told of last.
  std::uint64_t PublishedStateHash_ = 0; ///< Of host list and configuration.
  bool OthersLoadsChanged_ = false; ///< Others' loads are to be added up again.
};

} // namespace endivewharf
