// Release notes in INI.
#include "releasenote.h"

#include <chrono>
#include <ctime>
#include <fmt/format.h>

namespace endivewharf {

namespace {

/// Milliseconds since 1970 of `2027-03-01T06:00:00Z`; -1 if it is none.
std::int64_t parseUtc(const std::string &Text) {
  std::tm Time{};
  const char *End = strptime(Text.c_str(), "%Y-%m-%dT%H:%M:%SZ", &Time);
  if (End == nullptr || *End != '\0')
    return -1;
  return static_cast<std::int64_t>(timegm(&Time)) * 1000;
}

std::int64_t unixNow() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

class ReleaseNoteReader {
public:
  explicit ReleaseNoteReader(std::string_view File) : Mistakes_(File) {}

  void readSection(const IniSection &Section) {
    if (Section.Kind_ == "note")
      readHead(Section);
    else if (Section.Kind_ == "change")
      readChange(Section);
    else
      Mistakes_.add(Section, Section.Line_, "", "a section note or change");
  }

  tl::expected<ReleaseNoteRecord, FileErrors> finishReleaseNote() {
    const IniSection Whole{"note", "", 0, {}};
    if (Result_.Id_.empty())
      Mistakes_.add(Whole, 0, "id", "a name for the note; the key is missing");
    if (Result_.DeadlineUnixMs_ == 0)
      Mistakes_.add(Whole, 0, "by", "a time, or within = DURATION");
    if (Result_.Changes_.empty())
      Mistakes_.add(Whole, 0, "", "a section [change MODEL]");
    if (!Mistakes_.empty())
      return tl::unexpected(Mistakes_.extractErrors());
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
          Mistakes_.add(Section, Entry.Line_, Entry.Key_,
                        "a UTC time such as 2027-03-01T06:00:00Z");
      } else if (Entry.Key_ == "within") {
        const auto Span = parseDuration(Entry.Value_);
        if (Span)
          Result_.DeadlineUnixMs_ = unixNow() + *Span;
        else
          Mistakes_.add(Section, Entry.Line_, Entry.Key_,
                        "a duration such as 10m");
      } else {
        Mistakes_.addUnknownKey(Section, Entry, {"id", "by", "within"});
      }
    }
  }

  void readChange(const IniSection &Section) {
    VersionChange Change{Section.Name_, ""};
    for (const auto &Entry : Section.Entries_) {
      if (Entry.Key_ == "to")
        Change.ToVersion_ = Entry.Value_;
      else
        Mistakes_.addUnknownKey(Section, Entry, {"to"});
    }
    if (Change.Model_.empty())
      Mistakes_.add(Section, Section.Line_, "", "a model: [change MODEL]");
    if (Change.ToVersion_.empty())
      Mistakes_.add(Section, Section.Line_, "to", "the new version");
    Result_.Changes_.push_back(Change);
  }

  ReleaseNoteRecord Result_;
  FileErrorCollector Mistakes_;
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
