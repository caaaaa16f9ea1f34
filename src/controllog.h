// Reads the platform's log in order, applies its records and appends ours.
// Configuration, release notes, leases and claims all get their order here.
#pragma once

#include "state.h"

namespace endivewharf {

void onLogRead(State &S, const LogRead &E, Effects &Out);
void onLogReadFailed(State &S, Effects &Out);
void onAppendEnded(State &S, const AppendEnded &E, Effects &Out);

/// Queues a record for the next append; many records share one append.
void queueLogRecord(State &S, LogRecord Record);

/// Sends queued records and reads on, if the log can be used.
void startLogRequests(State &S, Effects &Out);

/// Applies what needs a moment rather than a record: snapshots, a start
/// without any base.
void tickControlSnapshots(State &S, Effects &Out);

/// This process's control state, for a peer or a snapshot.
ControlSnapshot controlSnapshot(const State &S);

/// Takes a configuration over if it is newer than the one in force.
/// @param Source where it came from, for the log
void adoptConfiguration(State &S, LogOffset Version, const std::string &Text,
                        std::string_view Source, Effects &Out);

/// Takes over a control state if it is newer than ours.
void adoptControlSnapshot(State &S, const ControlSnapshot &Control,
                          std::string_view Source, Effects &Out);

} // namespace endivewharf
