// Checks of status lines, fields and lengths.
#include "answerhead.h"

#include <algorithm>
#include <charconv>

namespace endivewharf {

namespace {

constexpr int FirstStatus = 100;
constexpr int FirstFinalStatus = 200;
constexpr int LastStatus = 599;
constexpr int StatusSwitchingProtocols = 101;
constexpr std::string_view LengthName = "Content-Length";
constexpr std::string_view CodingName = "Transfer-Encoding";

bool isBlank(char C) { return C == ' ' || C == '\t'; }

bool isDigit(char C) { return C >= '0' && C <= '9'; }

/// @return true for a character of a token (RFC 9110, 5.6.2)
bool isTokenCharacter(char C) {
  constexpr std::string_view Others = "!#$%&'*+-.^_`|~";
  return isDigit(C) || (C >= 'a' && C <= 'z') || (C >= 'A' && C <= 'Z') ||
         Others.find(C) != std::string_view::npos;
}

/// @return true for a character of a value or a reason (RFC 9110, 5.5); bytes
///   above 0x7f are opaque
bool isValueCharacter(char C) {
  const auto Byte = static_cast<unsigned char>(C);
  return C == '\t' || (Byte >= 0x20 && Byte != 0x7f);
}

bool isValue(std::string_view Text) {
  return std::all_of(Text.begin(), Text.end(), isValueCharacter);
}

std::string_view withoutBlanks(std::string_view Text) {
  while (!Text.empty() && isBlank(Text.front()))
    Text.remove_prefix(1);
  while (!Text.empty() && isBlank(Text.back()))
    Text.remove_suffix(1);
  return Text;
}

bool decidesFraming(std::string_view Name) {
  return equalsIgnoreCase(Name, LengthName) ||
         equalsIgnoreCase(Name, CodingName);
}

/// @return digits as a number; nothing for other text or more than 63 bits
std::optional<std::int64_t> parseLength(std::string_view Text) {
  std::int64_t Length = 0;
  if (Text.empty() || !std::all_of(Text.begin(), Text.end(), isDigit))
    return std::nullopt;
  const auto Result =
      std::from_chars(Text.data(), Text.data() + Text.size(), Length);
  return Result.ec == std::errc() ? std::optional(Length) : std::nullopt;
}

/// Collects what the fields of a head say about the end of the body.
class Framing {
public:
  std::optional<HeadFault> addField(const Header &Field) {
    if (equalsIgnoreCase(Field.Name_, LengthName))
      return addLengths(Field.Value_);
    if (!equalsIgnoreCase(Field.Name_, CodingName))
      return std::nullopt;
    if (HasCoding_ || !equalsIgnoreCase(Field.Value_, "chunked"))
      return HeadFault::TransferCoding;
    HasCoding_ = true;
    return std::nullopt;
  }

  std::optional<HeadFault> check(bool IsVersion10) const {
    if (HasCoding_ && (IsVersion10 || Length_))
      return HeadFault::TransferCoding;
    return std::nullopt;
  }

private:
  /// A list of equal lengths counts as one (RFC 9110, 8.6).
  std::optional<HeadFault> addLengths(std::string_view List) {
    for (;;) {
      const auto Comma = List.find(',');
      const auto Length = parseLength(withoutBlanks(List.substr(0, Comma)));
      if (!Length || (Length_ && *Length_ != *Length))
        return HeadFault::Length;
      Length_ = Length;
      if (Comma == std::string_view::npos)
        return std::nullopt;
      List.remove_prefix(Comma + 1);
    }
  }

  std::optional<std::int64_t> Length_;
  bool HasCoding_ = false;
};

} // namespace

std::string_view describe(HeadFault Fault) {
  switch (Fault) {
  case HeadFault::StatusLine:
    return "malformed status line";
  case HeadFault::Status:
    return "status code out of range";
  case HeadFault::FieldName:
    return "malformed field name";
  case HeadFault::FieldValue:
    return "control character in a field value";
  case HeadFault::FoldedLine:
    return "folded line that continues no field";
  case HeadFault::Length:
    return "malformed or contradictory length";
  case HeadFault::TransferCoding:
    break;
  }
  return "transfer coding that is not chunked alone";
}

std::optional<HeadFault> AnswerHead::addLine(std::string_view Line) {
  if (Line.empty() || Line.back() != '\n')
    return std::nullopt;
  Line.remove_suffix(1);
  if (!Line.empty() && Line.back() == '\r')
    Line.remove_suffix(1);
  if (Phase_ == Phase::StatusLine)
    return addStatusLine(Line);
  if (Line.empty())
    return Phase_ == Phase::Fields ? endHead() : std::nullopt;
  return isBlank(Line.front()) ? addFoldedLine(Line) : addField(Line);
}

std::optional<HeadFault> AnswerHead::addStatusLine(std::string_view Line) {
  constexpr std::string_view Prefix = "HTTP/1.";
  constexpr std::size_t StatusAt = 9; // behind the version and a blank
  constexpr std::size_t StatusDigits = 3;
  const auto IsVersion = [&] {
    const char Minor = Line[Prefix.size()];
    return Line.substr(0, Prefix.size()) == Prefix &&
           (Minor == '0' || Minor == '1') && isBlank(Line[StatusAt - 1]);
  };
  if (Line.size() < StatusAt + StatusDigits || !IsVersion())
    return HeadFault::StatusLine;
  const std::string_view Digits = Line.substr(StatusAt, StatusDigits);
  const std::string_view Reason = Line.substr(StatusAt + StatusDigits);
  const auto Status = parseLength(Digits);
  if (!Status || (!Reason.empty() && !isBlank(Reason.front())) ||
      !isValue(Reason))
    return HeadFault::StatusLine;
  if (*Status < FirstStatus || *Status > LastStatus ||
      *Status == StatusSwitchingProtocols)
    return HeadFault::Status;
  IsVersion10_ = Line[Prefix.size()] == '0';
  Status_ = static_cast<int>(*Status);
  Fields_.clear();
  HasField_ = false;
  Phase_ = Phase::Fields;
  return std::nullopt;
}

std::optional<HeadFault> AnswerHead::addField(std::string_view Line) {
  const auto Colon = Line.find(':');
  const std::string_view Name = Line.substr(0, Colon);
  if (Colon == std::string_view::npos || Name.empty() ||
      !std::all_of(Name.begin(), Name.end(), isTokenCharacter))
    return HeadFault::FieldName;
  const std::string_view Value = withoutBlanks(Line.substr(Colon + 1));
  if (!isValue(Value))
    return HeadFault::FieldValue;
  HasField_ = true;
  IsFramingField_ = decidesFraming(Name);
  if (Phase_ == Phase::Fields)
    Fields_.push_back({std::string(Name), std::string(Value)});
  return std::nullopt;
}

std::optional<HeadFault> AnswerHead::addFoldedLine(std::string_view Line) {
  // libcurl reads lengths and codings line by line, without what is folded.
  if (!HasField_ || IsFramingField_)
    return HeadFault::FoldedLine;
  const std::string_view Text = withoutBlanks(Line);
  if (!isValue(Text))
    return HeadFault::FieldValue;
  if (Phase_ != Phase::Fields || Text.empty())
    return std::nullopt;
  std::string &Value = Fields_.back().Value_;
  if (!Value.empty())
    Value += ' ';
  Value += Text;
  return std::nullopt;
}

std::optional<HeadFault> AnswerHead::endHead() {
  HasField_ = false;
  if (Status_ < FirstFinalStatus) {
    Phase_ = Phase::StatusLine;
    return std::nullopt;
  }
  Phase_ = Phase::Trailers;
  Framing BodyFraming;
  for (const Header &Field : Fields_)
    if (const auto Fault = BodyFraming.addField(Field))
      return Fault;
  return BodyFraming.check(IsVersion10_);
}

} // namespace endivewharf
