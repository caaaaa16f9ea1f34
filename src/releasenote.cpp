// Reads release notes in INI format.
#include "releasenote.h"

#include "quantity.h"

#include <chrono>
#include <ctime>
#include <fmt/format.h>

namespace endivewharf {

namespace {

/// Parses a UTC time such as `2027-03-01T06:00:00Z`.
/// @return Unix time, ms; -1 if the text has another format
std::int64_t parseUtc(const std::string &Text) {
  std::tm Time{};
  const char *End = strptime(Text.c_str(), "%Y-%m-%dT%H:%M:%SZ", &Time);
  if (End == nullptr || *End != '\0')
    return -1;
  return static_cast<std::int64_t>(timegm(&Time)) * 1000;
}

/// @return current Unix time, ms
std::int64_t unixNow() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

/// Builds a release note from its sections and collects the errors.
class ReleaseNoteReader {
public:
  explicit ReleaseNoteReader(std::string_view File) : Errors_(File) {}

  void readSection(const IniSection &Section) {
    if (Section.Kind_ == "note")
      readHead(Section);
    else if (Section.Kind_ == "change")
      readChange(Section);
    else
      Errors_.add(Section, Section.Line_, "",
                  "a section [note] or [change MODEL]");
  }

  /// Checks that the note is complete.
  /// @return the note, or all errors of the file
  tl::expected<ReleaseNoteRecord, FileErrors> finishReleaseNote() {
    const IniSection NoteSection{"note", "", 0, {}};
    if (Result_.Id_.empty())
      Errors_.add(NoteSection, 0, "id",
                  "a name for the note, but the key is missing");
    if (Result_.DeadlineUnixMs_ == 0)
      Errors_.add(NoteSection, 0, "by",
                  "a UTC time, or a key within = DURATION");
    if (Result_.Changes_.empty())
      Errors_.add(NoteSection, 0, "", "at least one section [change MODEL]");
    if (!Errors_.empty())
      return tl::unexpected(Errors_.extractErrors());
    return std::move(Result_);
  }

private:
  void readHead(const IniSection &Section) {
    for (const auto &Entry : Section.Entries_) {
      if (Entry.Key_ == "id") {
        Result_.Id_ = Entry.Value_;
      } else if (Entry.Key_ == "by") {
        Result_.DeadlineUnixMs_ = parseUtc(Entry.Value_);
        if (Result_.DeadlineUnixMs_ < 0)
          Errors_.add(Section, Entry.Line_, Entry.Key_,
                      "a UTC time such as 2027-03-01T06:00:00Z");
      } else if (Entry.Key_ == "within") {
        const auto Duration = parseDuration(Entry.Value_);
        if (Duration)
          Result_.DeadlineUnixMs_ = unixNow() + *Duration;
        else
          Errors_.add(Section, Entry.Line_, Entry.Key_,
                      "a duration such as 10m");
      } else {
        Errors_.addUnknownKey(Section, Entry, {"id", "by", "within"});
      }
    }
  }

  void readChange(const IniSection &Section) {
    VersionChange Change{Section.Name_, ""};
    for (const auto &Entry : Section.Entries_) {
      if (Entry.Key_ == "to")
        Change.ToVersion_ = Entry.Value_;
      else
        Errors_.addUnknownKey(Section, Entry, {"to"});
    }
    if (Change.Model_.empty())
      Errors_.add(Section, Section.Line_, "",
                  "a model name in the header: [change MODEL]");
    if (Change.ToVersion_.empty())
      Errors_.add(Section, Section.Line_, "to", "the name of the new version");
    Result_.Changes_.push_back(Change);
  }

  ReleaseNoteRecord Result_;
  FileErrorCollector Errors_;
};

} // namespace

tl::expected<ReleaseNoteRecord, FileErrors>
parseReleaseNote(std::string_view Text, std::string_view File) {
  auto Sections = parseIni(Text, File);
  if (!Sections)
    return tl::unexpected(Sections.error());
  ReleaseNoteReader Reader(File);
  for (const IniSection &Section : *Sections)
    Reader.readSection(Section);
  return Reader.finishReleaseNote();
}

} // namespace endivewharf
