// Bytes of messages between processes (CBOR) and of records in the log (JSON).
// A field that a newer process added is skipped; one that an older process
// does not send keeps its default.
#pragma once

#include "messages.h"

#include <span>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

namespace endivewharf {

enum class CodecError { NotCbor, NotJson, UnknownType, WrongShape };

std::string_view name(CodecError Value);

/// @return bytes of a message between processes
std::string encodeMessage(const PeerEnvelope &Envelope);

/// Reads a message between processes; any bytes are safe.
tl::expected<PeerEnvelope, CodecError> decodeMessage(std::string_view Bytes);

/// @return JSON text of a log record
std::string encodeRecord(const LogRecord &Record);

/// Reads a log record; any text is safe.
tl::expected<LogRecord, CodecError> decodeRecord(std::string_view Text);

/// Short name of a message's type, for metrics.
std::string_view messageName(const PeerMessage &Message);

} // namespace endivewharf
