// Reads the control log in order, applies its records and appends this
// process's records. The log gives configurations, release notes, leases and
// claims one order for all processes.
#pragma once

#include "state.h"

namespace endivewharf {

/// Applies the records of a successful read.
void onLogRead(State &S, const LogRead &E, Effects &Out);

/// Marks the log as unavailable and schedules a retry.
void onLogReadFailed(State &S, Effects &Out);

/// Handles the end of an append. Refused records are queued again; after an
/// unknown outcome only idempotent records are.
void onAppendEnded(State &S, const AppendEnded &E, Effects &Out);

/// Queues a record for the next append. One append writes many records.
void queueLogRecord(State &S, LogRecord Record);

/// Starts the next read and the next append, unless one is in progress or a
/// retry is not due yet.
void startLogRequests(State &S, Effects &Out);

/// Writes a snapshot when one is due (lease holder only). If no snapshot has
/// arrived within the timeout, applies the records that were deferred for it.
void tickControlSnapshots(State &S, Effects &Out);

/// This process's control state, for a peer or a snapshot.
ControlSnapshot controlSnapshot(const State &S);

/// Adopts a configuration if it is newer than the one in force. One that does
/// not parse is recorded as rejected.
/// @param Version offset of the configuration's record
/// @param Text INI text
/// @param Source origin of the configuration, for the log lines
void adoptConfiguration(State &S, LogOffset Version, const std::string &Text,
                        std::string_view Source, Effects &Out);

/// Puts another text for the version in force into force. The store's text goes
/// before that of a peer.
void replaceConfiguration(State &S, const std::string &Text, Effects &Out);

/// Adopts a control state if it is newer than this process's. On the platform
/// the configuration and the rollouts are adopted separately, each if newer.
/// @param Source origin of the control state, for the log lines
void adoptControlSnapshot(State &S, const ControlSnapshot &Control,
                          std::string_view Source, Effects &Out);

} // namespace endivewharf
