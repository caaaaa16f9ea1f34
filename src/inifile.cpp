// Reads each line of an INI text whole, and describes errors with their line
// and the nearest known word.
#include "inifile.h"

#include "iniwriter.h"
#include "types.h"

#include <algorithm>
#include <fmt/format.h>
#include <numeric>

namespace endivewharf {

namespace {

constexpr std::string_view ByteOrderMark = "\xef\xbb\xbf";

/// Reads a text line by line.
class IniLineReader {
public:
  /// @return what is wrong with the line; empty if it was read
  std::string readLine(std::string_view Line) {
    ++Line_;
    if (Line.size() > MaxIniLineBytes)
      return fmt::format("a line of at most {} bytes, not {}", MaxIniLineBytes,
                         Line.size());
    Line = trimmed(Line);
    if (Line.empty() || Line.front() == ';' || Line.front() == '#')
      return "";
    return Line.front() == '[' ? readHeader(Line) : readEntry(Line);
  }

  int line() const { return Line_; }
  std::vector<IniSection> extractSections() { return std::move(Sections_); }

private:
  std::string readHeader(std::string_view Line) {
    if (Line.back() != ']')
      return "a ] at the end of the section's header";
    Line = trimmed(Line.substr(1, Line.size() - 2));
    const auto Space = Line.find(' ');
    IniSection Section;
    Section.Line_ = Line_;
    Section.Kind_ = Line.substr(0, Space);
    if (Space != std::string_view::npos)
      Section.Name_ = trimmed(Line.substr(Space + 1));
    if (HasEscapes_ && !unescapeIniText(Section.Name_))
      return "two hexadecimal digits after each %";
    IsInFormat_ = Sections_.empty() && Section.Kind_ == IniFormatSection;
    if (IsInFormat_)
      return "";
    Sections_.push_back(std::move(Section));
    return "";
  }

  std::string readEntry(std::string_view Line) {
    const auto Separator = Line.find_first_of("=:");
    if (Separator == std::string_view::npos)
      return "a [section] or key = value";
    const std::string_view Key = trimmed(Line.substr(0, Separator));
    std::string Value(trimmed(Line.substr(Separator + 1)));
    if (IsInFormat_) {
      HasEscapes_ = Key == IniEscapesKey && Value == IniPercentEscapes;
      return HasEscapes_
                 ? ""
                 : fmt::format("{} = {}", IniEscapesKey, IniPercentEscapes);
    }
    if (HasEscapes_ && !unescapeIniText(Value))
      return "two hexadecimal digits after each %";
    if (Sections_.empty())
      Sections_.push_back({"", "", Line_, {}});
    Sections_.back().Entries_.push_back(
        {std::string(Key), std::move(Value), Line_});
    return "";
  }

  int Line_ = 0;
  bool IsInFormat_ = false; ///< Within the section that tells of escapes.
  bool HasEscapes_ = false;
  std::vector<IniSection> Sections_;
};

/// @return Levenshtein distance: the smallest number of inserted, removed and
/// replaced characters that turns one text into the other
int editDistance(std::string_view A, std::string_view B) {
  std::vector<int> Row(B.size() + 1);
  std::iota(Row.begin(), Row.end(), 0);
  for (std::size_t I = 1; I <= A.size(); ++I) {
    int Diagonal = Row[0];
    Row[0] = static_cast<int>(I);
    for (std::size_t J = 1; J <= B.size(); ++J) {
      const int Above = Row[J];
      const int Replaced = Diagonal + (A[I - 1] == B[J - 1] ? 0 : 1);
      Row[J] = std::min({Above + 1, Row[J - 1] + 1, Replaced});
      Diagonal = Above;
    }
  }
  return Row.back();
}

} // namespace

void FileErrorCollector::add(const IniSection &Section, int Line,
                             std::string_view Key, std::string Expected) {
  const std::string Name = Section.Name_.empty()
                               ? Section.Kind_
                               : Section.Kind_ + " " + Section.Name_;
  Errors_.push_back({File_, Line, Name, std::string(Key), std::move(Expected)});
}

void FileErrorCollector::addUnknownKey(const IniSection &Section,
                                       const IniSection::Entry &Entry,
                                       const std::vector<std::string> &Known) {
  add(Section, Entry.Line_, Entry.Key_,
      fmt::format("a known key; nearest: {}", nearestWord(Entry.Key_, Known)));
}

void FileErrorCollector::addAll(const FileErrors &Others) {
  Errors_.insert(Errors_.end(), Others.begin(), Others.end());
}

tl::expected<std::vector<IniSection>, FileErrors>
parseIni(std::string_view Text, std::string_view File) {
  if (Text.substr(0, ByteOrderMark.size()) == ByteOrderMark)
    Text.remove_prefix(ByteOrderMark.size());
  IniLineReader Reader;
  while (!Text.empty()) {
    const auto End = Text.find('\n');
    const std::string Expected = Reader.readLine(Text.substr(0, End));
    if (!Expected.empty())
      return tl::unexpected(
          FileErrors{{std::string(File), Reader.line(), "", "", Expected}});
    Text = End == std::string_view::npos ? "" : Text.substr(End + 1);
  }
  return Reader.extractSections();
}

std::string nearestWord(std::string_view Word,
                        const std::vector<std::string> &Known) {
  return *std::min_element(
      Known.begin(), Known.end(), [&](const auto &A, const auto &B) {
        return editDistance(Word, A) < editDistance(Word, B);
      });
}

std::string describe(const FileError &Error) {
  return fmt::format("{}:{}: [{}] {}: expected {}", Error.File_, Error.Line_,
                     Error.Section_, Error.Key_, Error.Expected_);
}

} // namespace endivewharf
