// What a process knows of its peers, as plain data: who lives, what each has
// told, who sums up for whom. Part of the state in state.h.
#pragma once

#include "messages.h"

#include <deque>
#include <map>
#include <string>
#include <unordered_map>

namespace endivewharf {

struct Member {
  MemberRow Row_;
  Millis AdvancedAt_ = 0; ///< When the heartbeat last grew.
  Millis KnownSince_ = 0; ///< When this life was first heard of.
  std::uint64_t SequenceSent_ = 0;
  std::uint64_t SequenceSeen_ = 0;
  std::uint64_t Acknowledged_ = 0;
  std::uint64_t LinkSince_ = 0; ///< Sequence at the link's last replacement.
  bool Alive_ = false;
  /// What it said last of its load, accounts and usage.
  SumsMessage Sums_;
  Millis SumsAt_ = -1;
  std::uint64_t SumsLife_ = 0; ///< Incarnation that told them.
  bool CountsUs_ = false;      ///< Its sums of all have had ours in them.
  Millis UsageAt_ = -1;        ///< When it told what began to run there.
  Millis SuspectUntil_ = 0;    ///< No collector until then: it was silent.
};

/// What a follower has told, by itself or through others.
struct FollowerState {
  FollowerRow Row_; ///< Ages count from `HeardAt_`.
  Millis HeardAt_ = 0;
};

struct MembershipState {
  std::map<std::string, Member> Members_; ///< By name.
  std::size_t Largest_ = 1; ///< Most living processes at once, with this one.
  Millis GreetedAt_ = 0;
  bool Joined_ = false; ///< This life's address is in the log.
  std::unordered_map<std::uint32_t, std::string> NameByLife_; ///< By hash.
  std::uint64_t Heartbeat_ = 0;
  Millis DigestAt_ = 0;

  std::string Collector_; ///< That this process reports to; empty: itself.
  Millis CollectorSince_ = 0;
  std::deque<SumsMessage> Reports_; ///< The last ones sent, as they were.
  std::uint64_t ReportSequence_ = 0;
  Millis SumsSentAt_ = 0;
  Millis ReportSentAt_ = 0;
  Millis UsageSentAt_ = 0;
  std::map<std::string, FollowerState> Followers_; ///< By name.
  std::map<std::string, Millis> Collectors_; ///< By name: when told of last.
  std::uint64_t NewsTold_ = 0; ///< Of host list and configuration.
  bool LoadsChanged_ = false;  ///< Others' loads are to be added up again.
};

} // namespace endivewharf
