// Reads INI text and turns it into a checked configuration.
#include "config.h"

#include <algorithm>
#include <charconv>
#include <fmt/format.h>
#include <ini.h>
#include <numeric>
#include <set>

namespace endivewharf {

namespace {

std::string trim(std::string_view Text) {
  const auto First = Text.find_first_not_of(" \t\r");
  if (First == std::string_view::npos)
    return {};
  const auto Last = Text.find_last_not_of(" \t\r");
  return std::string(Text.substr(First, Last - First + 1));
}

/// Hands inih one line at a time, so that the line's number is known.
struct IniReader {
  std::string_view Rest_;
  int Line_ = 0;
  std::vector<IniSection> Sections_;
};

char *readIniLine(char *Buffer, int Size, void *User) {
  auto &Reader = *static_cast<IniReader *>(User);
  if (Reader.Rest_.empty() || Size < 2)
    return nullptr;
  const auto End = Reader.Rest_.find('\n');
  const std::size_t Length =
      End == std::string_view::npos ? Reader.Rest_.size() : End + 1;
  const std::size_t Taken =
      std::min(Length, static_cast<std::size_t>(Size) - 1);
  std::copy_n(Reader.Rest_.data(), Taken, Buffer);
  Buffer[Taken] = '\0';
  Reader.Rest_.remove_prefix(Taken);
  ++Reader.Line_;
  return Buffer;
}

int onIniEntry(void *User, const char *Section, const char *Key,
               const char *Value) {
  auto &Reader = *static_cast<IniReader *>(User);
  auto &Sections = Reader.Sections_;
  const std::string Header = trim(Section);
  const auto Space = Header.find(' ');
  const std::string Kind = Header.substr(0, Space);
  const std::string Name =
      Space == std::string::npos ? "" : trim(Header.substr(Space + 1));
  if (Sections.empty() || Sections.back().Kind_ != Kind ||
      Sections.back().Name_ != Name)
    Sections.push_back({Kind, Name, Reader.Line_, {}});
  Sections.back().Entries_.push_back({Key, Value, Reader.Line_});
  return 1;
}

double parseNumber(std::string_view Text, bool &Ok) {
  double Number = 0;
  const auto *End = Text.data() + Text.size();
  const auto Result = std::from_chars(Text.data(), End, Number);
  Ok = Result.ec == std::errc() && Result.ptr == End && !Text.empty();
  return Number;
}

struct Unit {
  std::string_view Name_;
  std::int64_t Factor_;
};

tl::expected<std::int64_t, std::monostate>
parseWithUnit(std::string_view Text, std::initializer_list<Unit> Units) {
  std::int64_t Number = 0;
  const auto *End = Text.data() + Text.size();
  const auto Result = std::from_chars(Text.data(), End, Number);
  if (Result.ec != std::errc() || Number < 0)
    return tl::unexpected(std::monostate{});
  const std::string_view Rest(Result.ptr, End - Result.ptr);
  for (const Unit &Candidate : Units)
    if (Rest == Candidate.Name_)
      return Number * Candidate.Factor_;
  return tl::unexpected(std::monostate{});
}

/// Collects mistakes while one configuration is read.
class ConfigurationReader {
public:
  explicit ConfigurationReader(std::string_view File) : Mistakes_(File) {}

  void read(const IniSection &Section) {
    if (Section.Kind_ == "account")
      readAccount(Section);
    else if (Section.Kind_ == "model")
      readModel(Section);
    else if (Section.Kind_ == "service")
      readService(Section);
    else
      Mistakes_.add(
          Section, Section.Line_, "",
          fmt::format(
              "a section account, model or service; nearest: {}",
              nearestWord(Section.Kind_, {"account", "model", "service"})));
  }

  tl::expected<Configuration, FileMistakes> finish() {
    if (!Mistakes_.empty())
      return tl::unexpected(Mistakes_.take());
    return std::move(Result_);
  }

private:
  double positive(const IniSection &Section, const IniSection::Entry &Entry) {
    bool Ok = false;
    const double Number = parseNumber(Entry.Value_, Ok);
    if (!Ok || Number <= 0)
      Mistakes_.add(Section, Entry.Line_, Entry.Key_, "a number above 0");
    return Number;
  }

  void readAccount(const IniSection &Section) {
    Account New;
    New.Name_ = Section.Name_;
    for (const auto &Entry : Section.Entries_) {
      if (Entry.Key_ == "key")
        New.Key_ = Entry.Value_;
      else if (Entry.Key_ == "weight")
        New.Weight_ = positive(Section, Entry);
      else if (Entry.Key_ == "rate")
        New.RatePerSecond_ = positive(Section, Entry);
      else if (Entry.Key_ == "max_in_flight")
        New.MaxInFlight_ = static_cast<int>(positive(Section, Entry));
      else
        Mistakes_.addUnknownKey(Section, Entry,
                                {"key", "weight", "rate", "max_in_flight"});
    }
    if (New.Name_.empty())
      Mistakes_.add(Section, Section.Line_, "", "a name: [account NAME]");
    if (New.Key_.empty())
      Mistakes_.add(Section, Section.Line_, "key", "a secret key");
    else if (!Result_.AccountsByKey_.emplace(New.Key_, New).second)
      Mistakes_.add(Section, Section.Line_, "key",
                    "a key that no other account has");
  }

  void readModel(const IniSection &Section) {
    ModelEntry New{.Name_ = Section.Name_, .Version_ = ""};
    for (const auto &Entry : Section.Entries_) {
      if (Entry.Key_ == "version")
        New.Version_ = Entry.Value_;
      else
        Mistakes_.addUnknownKey(Section, Entry, {"version"});
    }
    if (New.Version_.empty())
      Mistakes_.add(Section, Section.Line_, "version",
                    "the version that serves");
    Result_.Models_[New.Name_] = New;
  }

  void readService(const IniSection &Section) {
    ServiceEntry New{.Name_ = Section.Name_, .Unrepeatable_ = {}};
    for (const auto &Entry : Section.Entries_) {
      if (Entry.Key_ == "unrepeatable")
        readRoutes(Section, Entry, New);
      else
        Mistakes_.addUnknownKey(Section, Entry, {"unrepeatable"});
    }
    Result_.Services_[New.Name_] = New;
  }

  void readRoutes(const IniSection &Section, const IniSection::Entry &Entry,
                  ServiceEntry &Service) {
    std::string_view Rest = Entry.Value_;
    while (!Rest.empty()) {
      const auto Comma = Rest.find(',');
      const std::string Item = trim(Rest.substr(0, Comma));
      Rest = Comma == std::string_view::npos ? "" : Rest.substr(Comma + 1);
      const auto Space = Item.find(' ');
      if (Space == std::string::npos || Item.find('/') != Space + 1) {
        Mistakes_.add(Section, Entry.Line_, Entry.Key_,
                      "METHOD /path, METHOD /path");
        continue;
      }
      Service.Unrepeatable_.push_back(
          {Item.substr(0, Space), Item.substr(Space + 1)});
    }
  }

  Configuration Result_;
  MistakeCollector Mistakes_;
};

int editDistance(std::string_view A, std::string_view B) {
  std::vector<int> Row(B.size() + 1);
  std::iota(Row.begin(), Row.end(), 0);
  for (std::size_t I = 1; I <= A.size(); ++I) {
    int Diagonal = Row[0];
    Row[0] = static_cast<int>(I);
    for (std::size_t J = 1; J <= B.size(); ++J) {
      const int Above = Row[J];
      const int Replace = Diagonal + (A[I - 1] == B[J - 1] ? 0 : 1);
      Row[J] = std::min({Above + 1, Row[J - 1] + 1, Replace});
      Diagonal = Above;
    }
  }
  return Row.back();
}

} // namespace

void MistakeCollector::add(const IniSection &Section, int Line,
                           std::string_view Key, std::string Expected) {
  const std::string Name = Section.Name_.empty()
                               ? Section.Kind_
                               : Section.Kind_ + " " + Section.Name_;
  All_.push_back({File_, Line, Name, std::string(Key), std::move(Expected)});
}

void MistakeCollector::addUnknownKey(const IniSection &Section,
                                     const IniSection::Entry &Entry,
                                     const std::vector<std::string> &Known) {
  add(Section, Entry.Line_, Entry.Key_,
      fmt::format("a known key; nearest: {}", nearestWord(Entry.Key_, Known)));
}

void MistakeCollector::addAll(const FileMistakes &More) {
  All_.insert(All_.end(), More.begin(), More.end());
}

tl::expected<std::vector<IniSection>, FileMistakes>
parseIni(std::string_view Text, std::string_view File) {
  IniReader Reader{Text, 0, {}};
  const int BadLine =
      ini_parse_stream(readIniLine, &Reader, onIniEntry, &Reader);
  if (BadLine != 0)
    return tl::unexpected(FileMistakes{
        {std::string(File), BadLine, "", "", "a [section] or key = value"}});
  return std::move(Reader.Sections_);
}

tl::expected<Configuration, FileMistakes>
parseConfiguration(std::string_view Text, std::string_view File) {
  auto Sections = parseIni(Text, File);
  if (!Sections)
    return tl::unexpected(Sections.error());
  ConfigurationReader Reader(File);
  for (const IniSection &Section : *Sections)
    Reader.read(Section);
  return Reader.finish();
}

bool isUnrepeatable(const ServiceEntry &Service, std::string_view Method,
                    std::string_view Path) {
  return std::any_of(Service.Unrepeatable_.begin(), Service.Unrepeatable_.end(),
                     [&](const UnrepeatableRoute &Route) {
                       return Route.Method_ == Method &&
                              Path.substr(0, Route.PathPrefix_.size()) ==
                                  Route.PathPrefix_;
                     });
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

std::string describe(const FileMistake &Mistake) {
  return fmt::format("{}:{}: [{}] {}: expected {}", Mistake.File_,
                     Mistake.Line_, Mistake.Section_, Mistake.Key_,
                     Mistake.Expected_);
}

} // namespace endivewharf
