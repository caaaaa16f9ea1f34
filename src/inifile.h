// Parser for INI files: sections, entries, and errors with their file and line.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <utility>
#include <vector>

namespace endivewharf {

/// One error in a settings or configuration file.
struct FileError {
  std::string File_;
  int Line_ = 0;         ///< Line number; 0: the file as a whole.
  std::string Section_;  ///< Section header without brackets.
  std::string Key_;      ///< Key; empty: the section as a whole.
  std::string Expected_; ///< Description of what the file should contain.
};

using FileErrors = std::vector<FileError>;

/// One INI section with the line numbers of its keys.
struct IniSection {
  /// One `key = value` line.
  struct Entry {
    std::string Key_;
    std::string Value_;
    int Line_ = 0;
  };
  std::string Kind_; ///< First word of the header.
  std::string Name_; ///< Rest of the header; may be empty.
  int Line_ = 0;     ///< Line number of the section's header.
  std::vector<Entry> Entries_;
};

/// Collects the errors of one file.
class FileErrorCollector {
public:
  explicit FileErrorCollector(std::string_view File) : File_(File) {}

  /// Adds an error.
  /// @param Section section with the error
  /// @param Line line number; 0: the file as a whole
  /// @param Key key with the error; empty: the section as a whole
  /// @param Expected what the file should contain
  void add(const IniSection &Section, int Line, std::string_view Key,
           std::string Expected);
  /// Adds an error for a key that the section may not contain and names the
  /// most similar known key.
  /// @param Known keys of the section; not empty
  void addUnknownKey(const IniSection &Section, const IniSection::Entry &Entry,
                     const std::vector<std::string> &Known);
  /// Appends errors of another collection.
  void addAll(const FileErrors &Others);

  bool empty() const { return Errors_.empty(); }
  std::size_t size() const { return Errors_.size(); }
  /// Moves the collected errors out of this object.
  FileErrors extractErrors() { return std::move(Errors_); }
  const std::string &file() const { return File_; }

private:
  std::string File_;
  FileErrors Errors_;
};

/// Longest line of an INI text, in bytes.
constexpr std::size_t MaxIniLineBytes = 1 << 20;

/// Parses INI text into sections in file order. A name goes to the end of its
/// header, and a value to the end of its line, without the blanks around it.
/// @param Text text of the whole file
/// @param File file name for error messages
/// @return the sections, or the first line that is too long or not valid INI
tl::expected<std::vector<IniSection>, FileErrors>
parseIni(std::string_view Text, std::string_view File);

/// Finds the known word with the smallest edit distance.
/// @param Known words to choose from; not empty
/// @return the first of the known words with the smallest distance
std::string nearestWord(std::string_view Word,
                        const std::vector<std::string> &Known);

/// @return the error as one line: file, line, section, key and what was
/// expected
std::string describe(const FileError &Error);

} // namespace endivewharf
