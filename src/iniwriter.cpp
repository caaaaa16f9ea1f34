// A text is written as it is where every build reads it whole.
#include "iniwriter.h"

#include <algorithm>
#include <fmt/format.h>

namespace endivewharf {

namespace {

// Builds that know no escapes cut a longer header and split a longer line, and
// take a semicolon after a blank for a comment.
constexpr std::size_t MaxPlainHeaderBytes = 48; // without the blank in it
constexpr std::size_t MaxPlainLineBytes = 195;  // without " = "

bool isControl(char C) {
  return static_cast<unsigned char>(C) < 0x20 || C == 0x7f;
}

bool isBlank(char C) { return C == ' ' || C == '\t'; }

/// @return true if every build reads the text as it is from an entry's line
bool isPlainValue(std::string_view Text) {
  if (Text.empty())
    return true;
  if (isBlank(Text.front()) || isBlank(Text.back()) || Text.front() == ';')
    return false;
  return std::none_of(Text.begin(), Text.end(), isControl) &&
         Text.find(" ;") == std::string_view::npos;
}

/// @return true if every build reads the text as it is from a header
bool isPlainName(std::string_view Text) {
  return isPlainValue(Text) && Text.find(']') == std::string_view::npos;
}

std::string escape(std::string_view Text) {
  std::string Result;
  for (std::size_t I = 0; I < Text.size(); ++I) {
    const char C = Text[I];
    const bool AtEnd = I == 0 || I + 1 == Text.size();
    if (C == '%' || C == ']' || C == ';' || isControl(C) ||
        (AtEnd && isBlank(C)))
      Result += fmt::format("%{:02x}", static_cast<unsigned char>(C));
    else
      Result += C;
  }
  return Result;
}

/// @return value of a hexadecimal digit, or -1
int hexValue(char C) {
  if (C >= '0' && C <= '9')
    return C - '0';
  if (C >= 'a' && C <= 'f')
    return C - 'a' + 10;
  return C >= 'A' && C <= 'F' ? C - 'A' + 10 : -1;
}

} // namespace

bool unescapeIniText(std::string &Text) {
  std::string Result;
  for (std::size_t I = 0; I < Text.size(); ++I) {
    if (Text[I] != '%') {
      Result += Text[I];
      continue;
    }
    const int High = I + 2 < Text.size() ? hexValue(Text[I + 1]) : -1;
    const int Low = High >= 0 ? hexValue(Text[I + 2]) : -1;
    if (Low < 0)
      return false;
    Result += static_cast<char>(High * 16 + Low);
    I += 2;
  }
  Text = std::move(Result);
  return true;
}

IniWriter &IniWriter::section(std::string_view Kind, std::string_view Name) {
  Lines_.push_back({Kind, std::string(Name), true});
  return *this;
}

IniWriter &IniWriter::entry(std::string_view Key, std::string_view Value) {
  Lines_.push_back({Key, std::string(Value), false});
  return *this;
}

IniWriter &IniWriter::append(const IniWriter &Other) {
  Lines_.insert(Lines_.end(), Other.Lines_.begin(), Other.Lines_.end());
  return *this;
}

bool IniWriter::needsEscapes() const {
  return std::any_of(Lines_.begin(), Lines_.end(), [](const Line &L) {
    const std::size_t Bytes = L.Key_.size() + L.Value_.size();
    return L.IsSection_ ? !isPlainName(L.Value_) || Bytes > MaxPlainHeaderBytes
                        : !isPlainValue(L.Value_) || Bytes > MaxPlainLineBytes;
  });
}

std::string IniWriter::text() const {
  const bool Escapes = needsEscapes();
  std::string Text;
  if (Escapes)
    Text = fmt::format("[{}]\n{} = {}\n", IniFormatSection, IniEscapesKey,
                       IniPercentEscapes);
  for (const Line &L : Lines_) {
    const std::string Value = Escapes ? escape(L.Value_) : L.Value_;
    Text += L.IsSection_ ? fmt::format("[{} {}]\n", L.Key_, Value)
                         : fmt::format("{} = {}\n", L.Key_, Value);
  }
  return Text;
}

} // namespace endivewharf
