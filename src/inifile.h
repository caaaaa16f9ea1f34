// INI files: sections, values with units, and every mistake with its place.
#pragma once

#include "types.h"

#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <utility>
#include <variant>
#include <vector>

namespace endivewharf {

/// One mistake in a settings or configuration file.
struct FileError {
  std::string File_;
  int Line_ = 0; ///< 0: the file as a whole.
  std::string Section_;
  std::string Key_;
  std::string Expected_;
};

using FileErrors = std::vector<FileError>;

/// One INI section with the line numbers of its keys.
struct IniSection {
  struct Entry {
    std::string Key_;
    std::string Value_;
    int Line_ = 0;
  };
  std::string Kind_; ///< First word of the header.
  std::string Name_; ///< The rest of the header; may be empty.
  int Line_ = 0;
  std::vector<Entry> Entries_;
};

/// Collects the mistakes of one file.
class FileErrorCollector {
public:
  explicit FileErrorCollector(std::string_view File) : File_(File) {}

  /// @param Line 0: the file as a whole
  void add(const IniSection &Section, int Line, std::string_view Key,
           std::string Expected);
  void addUnknownKey(const IniSection &Section, const IniSection::Entry &Entry,
                     const std::vector<std::string> &Known);
  void addAll(const FileErrors &More);

  bool empty() const { return Errors_.empty(); }
  FileErrors extractErrors() { return std::move(Errors_); }
  const std::string &file() const { return File_; }

private:
  std::string File_;
  FileErrors Errors_;
};

/// Reads INI text into sections in file order.
/// @param Text whole file
/// @param File name used in mistakes
/// @return sections, or every line that is not INI
tl::expected<std::vector<IniSection>, FileErrors>
parseIni(std::string_view Text, std::string_view File);

/// Reads a duration such as `250ms`, `3s` or `2m`.
/// @return milliseconds, or nothing if the text is no duration
tl::expected<Millis, std::monostate> parseDuration(std::string_view Text);

/// Reads a size such as `512KiB` or `32MiB`.
/// @return bytes, or nothing if the text is no size
tl::expected<std::int64_t, std::monostate> parseSize(std::string_view Text);

/// Finds the known word with the smallest edit distance.
std::string nearestWord(std::string_view Word,
                        const std::vector<std::string> &Known);

/// One line for an operator.
std::string describe(const FileError &Mistake);

} // namespace endivewharf
