// The head of an HTTP/1 answer, line by line as libcurl hands it on. libcurl
// splits lines and finds the end of the body; it lets through status codes,
// field names, values and lengths that RFC 9110 and RFC 9112 do not allow.
// Independent of libcurl.
#pragma once

#include "types.h"

#include <optional>
#include <string>
#include <string_view>

namespace endivewharf {

/// Why an answer's head is malformed.
enum class HeadFault {
  StatusLine,    ///< Not a status line of HTTP/1.0 or HTTP/1.1.
  Status,        ///< No status code from 100 to 599, or an unasked 101.
  FieldName,     ///< Not a token (RFC 9110, 5.6.2), or no colon behind it.
  FieldValue,    ///< A control character other than a tab.
  FoldedLine,    ///< A folded line without a field that it may continue.
  Length,        ///< A length that is no number, is too large, or differs.
  TransferCoding ///< Not `chunked` alone, beside a length, or in HTTP/1.0.
};

/// @return reason for logs
std::string_view describe(HeadFault Fault);

/// Checks the lines of one answer: interim heads, the final head and trailers.
/// Trailers are checked and not kept: RFC 9112, 7.1.2 forbids merging them with
/// the fields of the head.
class AnswerHead {
public:
  /// Takes the next line. A line without line feed is one within which the
  /// connection has ended; it is ignored.
  /// @param Line with its line ending
  /// @return the fault that the answer has, if any
  std::optional<HeadFault> addLine(std::string_view Line);

  /// @return true after the empty line that ends the final head
  bool isComplete() const { return Phase_ == Phase::Trailers; }
  /// @return true after the first status line
  bool hasBegun() const { return Status_ != 0; }
  /// @return status code of the last status line; 0: none came
  int status() const { return Status_; }
  /// @return fields of the final head, or of the last head that has begun, with
  ///   folded lines joined
  const Headers &fields() const { return Fields_; }

private:
  enum class Phase { StatusLine, Fields, Trailers };

  std::optional<HeadFault> addStatusLine(std::string_view Line);
  std::optional<HeadFault> addField(std::string_view Line);
  std::optional<HeadFault> addFoldedLine(std::string_view Line);
  std::optional<HeadFault> endHead();

  Phase Phase_ = Phase::StatusLine;
  int Status_ = 0;
  bool IsVersion10_ = false; ///< HTTP/1.0, which has no transfer codings.
  bool HasField_ = false;    ///< A field came that a folded line may continue.
  bool IsFramingField_ = false; ///< The last field decides where the body ends.
  Headers Fields_;
};

} // namespace endivewharf
