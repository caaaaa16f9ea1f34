// Encodes messages between entry processes as CBOR and records of the control
// log as JSON. Decoding skips unknown fields, which a newer process may have
// added, and leaves missing fields, which an older process does not send, at
// their defaults.
#pragma once

#include "messages.h"

#include <span>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

namespace endivewharf {

/// Reason for which a message or record could not be decoded.
enum class CodecError { NotCbor, NotJson, UnknownType, WrongShape };

/// @return the error's name in logs
std::string_view name(CodecError Value);

/// @return the CBOR encoding of a message between entry processes
std::string encodeMessage(const PeerEnvelope &Envelope);

/// Decodes a message between entry processes.
/// @param Bytes untrusted input; any bytes are safe
/// @return the message, or why it could not be decoded
tl::expected<PeerEnvelope, CodecError> decodeMessage(std::string_view Bytes);

/// @return the JSON text of a log record; invalid UTF-8 is replaced
std::string encodeRecord(const LogRecord &Record);

/// Decodes a log record.
/// @param Text untrusted input; any text is safe
/// @return the record, or why it could not be decoded
tl::expected<LogRecord, CodecError> decodeRecord(std::string_view Text);

/// @return the short name of a message's type, for metrics
std::string_view messageName(const PeerMessage &Message);

} // namespace endivewharf
