// Writes INI texts that are read back as they were written, whatever their
// names and values hold.
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace endivewharf {

/// A text in which some names or values cannot stand as they are begins with
/// this section and entry, and has them with `%` and two hexadecimal digits in
/// place of some bytes. Builds that know no escapes refuse it as a whole.
constexpr std::string_view IniFormatSection = "format";
constexpr std::string_view IniEscapesKey = "escapes";
constexpr std::string_view IniPercentEscapes = "percent";

/// Replaces the escapes in a text.
/// @return false if a percent sign is not followed by two digits
bool unescapeIniText(std::string &Text);

/// Builds an INI text.
class IniWriter {
public:
  /// Begins a section.
  /// @param Kind literal; first word of the header
  IniWriter &section(std::string_view Kind, std::string_view Name);
  /// Adds an entry to the section.
  /// @param Key literal
  IniWriter &entry(std::string_view Key, std::string_view Value);
  /// Adds all sections of another writer.
  IniWriter &append(const IniWriter &Other);
  /// @return the text; with escapes only if it needs them
  std::string text() const;

private:
  struct Line {
    std::string_view Key_; ///< Key of the entry, or kind of the section.
    std::string Value_;    ///< Value of the entry, or name of the section.
    bool IsSection_ = false;
  };
  bool needsEscapes() const;

  std::vector<Line> Lines_;
};

} // namespace endivewharf
