// Parses INI text with the library inih and describes errors with their line
// and the nearest known word.
#include "inifile.h"

#include <algorithm>
#include <charconv>
#include <fmt/format.h>
#include <ini.h>
#include <numeric>

namespace endivewharf {

namespace {

/// State of the inih callbacks. inih gets one line at a time, so that the line
/// number of each entry is known.
struct IniReader {
  std::string_view RemainingText_;
  int Line_ = 0;
  std::vector<IniSection> Sections_;
};

/// Reader callback of inih: copies the next line into the buffer.
/// @param Buffer destination, terminated with a null byte
/// @param Size capacity of the buffer in bytes; a longer line is split
/// @param UserData the IniReader
/// @return the buffer, or null at the end of the text
char *readIniLine(char *Buffer, int Size, void *UserData) {
  auto &Reader = *static_cast<IniReader *>(UserData);
  if (Reader.RemainingText_.empty() || Size < 2)
    return nullptr;
  const auto End = Reader.RemainingText_.find('\n');
  const std::size_t Length =
      End == std::string_view::npos ? Reader.RemainingText_.size() : End + 1;
  const std::size_t CopiedLength =
      std::min(Length, static_cast<std::size_t>(Size) - 1);
  std::copy_n(Reader.RemainingText_.data(), CopiedLength, Buffer);
  Buffer[CopiedLength] = '\0';
  Reader.RemainingText_.remove_prefix(CopiedLength);
  ++Reader.Line_;
  return Buffer;
}

/// Entry callback of inih: adds an entry to its section.
/// @return 1, with which inih continues
int onIniEntry(void *UserData, const char *Section, const char *Key,
               const char *Value) {
  auto &Reader = *static_cast<IniReader *>(UserData);
  auto &Sections = Reader.Sections_;
  const std::string_view Header = trimmed(Section);
  const auto Space = Header.find(' ');
  const std::string Kind(Header.substr(0, Space));
  const std::string Name(Space == std::string_view::npos
                             ? std::string_view()
                             : trimmed(Header.substr(Space + 1)));
  if (Sections.empty() || Sections.back().Kind_ != Kind ||
      Sections.back().Name_ != Name)
    Sections.push_back({Kind, Name, Reader.Line_, {}});
  Sections.back().Entries_.push_back({Key, Value, Reader.Line_});
  return 1;
}

/// Suffix of a number and the factor that it stands for.
struct Unit {
  std::string_view Name_;
  std::int64_t Factor_;
};

/// Parses a whole number with one of the units.
/// @return the number times the unit's factor, or nothing if the text is not
/// such a number or exceeds MaxExternalNumber
tl::expected<std::int64_t, std::monostate>
parseWithUnit(std::string_view Text, std::initializer_list<Unit> Units) {
  std::int64_t Number = 0;
  const auto *End = Text.data() + Text.size();
  const auto Result = std::from_chars(Text.data(), End, Number);
  if (Result.ec != std::errc() || Number < 0)
    return tl::unexpected(std::monostate{});
  const std::string_view Suffix(Result.ptr, End - Result.ptr);
  for (const Unit &Candidate : Units)
    if (Suffix == Candidate.Name_ &&
        Number <= MaxExternalNumber / Candidate.Factor_)
      return Number * Candidate.Factor_;
  return tl::unexpected(std::monostate{});
}

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
  IniReader Reader{Text, 0, {}};
  const int BadLine =
      ini_parse_stream(readIniLine, &Reader, onIniEntry, &Reader);
  if (BadLine != 0)
    return tl::unexpected(FileErrors{
        {std::string(File), BadLine, "", "", "a [section] or key = value"}});
  return std::move(Reader.Sections_);
}

tl::expected<Millis, std::monostate> parseDuration(std::string_view Text) {
  return parseWithUnit(Text,
                       {{"ms", 1}, {"s", 1000}, {"m", 60000}, {"h", 3600000}});
}

tl::expected<std::int64_t, std::monostate> parseSize(std::string_view Text) {
  return parseWithUnit(Text, {{"B", 1}, {"KiB", 1 << 10}, {"MiB", 1 << 20}});
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
