// Operators' commands: check files, publish to the log, look at processes.
#include "commands.h"

#include "codec.h"
#include "releasenote.h"
#include "server.h"
#include "settings.h"

#include <chrono>
#include <curl/curl.h>
#include <fmt/format.h>
#include <fstream>
#include <nlohmann/json.hpp>
#include <optional>
#include <sstream>
#include <thread>

namespace endivewharf {

namespace {

using Json = nlohmann::json;

constexpr long HttpTimeoutMs = 5000;
constexpr int MaxStatusPolls = 40;
constexpr auto StatusPollInterval = std::chrono::milliseconds(250);

std::size_t appendToBody(char *Data, std::size_t Size, std::size_t Count,
                         void *User) {
  static_cast<std::string *>(User)->append(Data, Size * Count);
  return Size * Count;
}

/// One blocking HTTP exchange.
/// @return the body of a 200 answer
std::optional<std::string> sendHttpRequest(const std::string &Url,
                                           const std::string &Body = "") {
  CURL *Easy = curl_easy_init();
  std::string Answer;
  curl_easy_setopt(Easy, CURLOPT_URL, Url.c_str());
  curl_easy_setopt(Easy, CURLOPT_TIMEOUT_MS, HttpTimeoutMs);
  curl_easy_setopt(Easy, CURLOPT_PROXY, "");
  curl_easy_setopt(Easy, CURLOPT_WRITEFUNCTION, &appendToBody);
  curl_easy_setopt(Easy, CURLOPT_WRITEDATA, &Answer);
  if (!Body.empty())
    curl_easy_setopt(Easy, CURLOPT_POSTFIELDS, Body.c_str());
  const CURLcode Code = curl_easy_perform(Easy);
  long Status = 0;
  curl_easy_getinfo(Easy, CURLINFO_RESPONSE_CODE, &Status);
  curl_easy_cleanup(Easy);
  if (Code != CURLE_OK || Status != 200)
    return std::nullopt;
  return Answer;
}

std::optional<std::string> readFile(const std::string &Path) {
  std::ifstream Stream(Path);
  if (!Stream)
    return std::nullopt;
  std::ostringstream Text;
  Text << Stream.rdbuf();
  return Text.str();
}

std::optional<Json> fetchDump(const std::string &Operator) {
  const auto Text = sendHttpRequest(fmt::format("http://{}/dump", Operator));
  if (!Text)
    return std::nullopt;
  Json Body = Json::parse(*Text, nullptr, false);
  if (!Body.is_object())
    return std::nullopt;
  return Body;
}

int printFailure(const std::string &Why) {
  fmt::print(stderr, "endivewharf: {}\n", Why);
  return ExitFailure;
}

/// Appends one record.
/// @return its offset
std::optional<LogOffset> appendLogRecord(const std::string &LogUrl,
                                         const LogRecord &Record) {
  const Json Body = {{"records", Json::array({encodeRecord(Record)})}};
  const auto Answer = sendHttpRequest(LogUrl + "/append", Body.dump());
  if (!Answer)
    return std::nullopt;
  const Json Page = Json::parse(*Answer, nullptr, false);
  if (!Page.is_object() || !Page.contains("offset"))
    return std::nullopt;
  return Page["offset"].get<LogOffset>();
}

/// Waits until a process has judged the record at an offset.
int awaitRecordOutcome(const std::string &Operator, const char *Section,
                       const char *VersionKey, LogOffset Offset) {
  for (int I = 0; I < MaxStatusPolls; ++I) {
    const auto Dump = fetchDump(Operator);
    if (Dump) {
      const Json &Part = (*Dump)[Section];
      const Json Rejected = Part.value("rejected", Json::object());
      const auto Found = Rejected.find(std::to_string(Offset));
      if (Found != Rejected.end())
        return printFailure(
            fmt::format("rejected: {}", Found->get<std::string>()));
      if (Part.value(VersionKey, NoOffset) >= Offset) {
        fmt::print("version={} state=in_force_at_{}\n", Offset, Operator);
        return ExitSuccess;
      }
    }
    std::this_thread::sleep_for(StatusPollInterval);
  }
  return printFailure(fmt::format(
      "version {} was appended, but {} has not read it", Offset, Operator));
}

} // namespace

void printFileErrors(const FileErrors &Mistakes) {
  for (const FileError &Mistake : Mistakes)
    fmt::print(stderr, "{}\n", describe(Mistake));
}

int checkSettings(const std::string &Path) {
  const auto Read = readSettings(Path);
  if (!Read) {
    printFileErrors(Read.error());
    return ExitUsage;
  }
  fmt::print("ok: {} in {}, {} peers\n", Read->Name_, Read->DataCentre_,
             Read->Peers_.size());
  return ExitSuccess;
}

int serveCommand(const std::string &Path) {
  const auto Read = readSettings(Path);
  if (!Read) {
    printFileErrors(Read.error());
    return ExitUsage;
  }
  return runEntryProcess(*Read, Path);
}

int checkConfiguration(const std::string &File) {
  const auto Text = readFile(File);
  if (!Text)
    return printFailure("can't read " + File);
  const auto Parsed = parseConfiguration(*Text, File);
  if (!Parsed) {
    printFileErrors(Parsed.error());
    return ExitUsage;
  }
  fmt::print("ok: {} accounts, {} models, {} services\n",
             Parsed->AccountsByKey_.size(), Parsed->Models_.size(),
             Parsed->Services_.size());
  return ExitSuccess;
}

int publishConfiguration(const std::string &LogUrl, const std::string &Operator,
                         const std::string &File) {
  const int Checked = checkConfiguration(File);
  if (Checked != ExitSuccess)
    return Checked;
  const auto Dump = fetchDump(Operator);
  if (!Dump)
    return printFailure("no answer from " + Operator);
  const LogOffset Base = (*Dump)["config"].value("version", NoOffset);
  const auto Offset =
      appendLogRecord(LogUrl, ConfigRecord{Base, *readFile(File)});
  if (!Offset)
    return printFailure(
        "the log did not say whether it took the configuration; look "
        "at `config status` before publishing again");
  return awaitRecordOutcome(Operator, "config", "version", *Offset);
}

int printConfigurationStatus(const std::string &Operator) {
  const auto Dump = fetchDump(Operator);
  if (!Dump)
    return printFailure("no answer from " + Operator);
  const LogOffset Version = (*Dump)["config"].value("version", NoOffset);
  fmt::print("version={}\n", Version);
  bool Everywhere = true;
  for (const Json &M : (*Dump)["members"]) {
    const bool Alive = M.value("alive", false);
    const bool Has = M.value("config_version", NoOffset) >= Version;
    Everywhere = Everywhere && Alive && Has;
    fmt::print("process={} state={}\n", M.value("name", ""),
               !Alive ? "cut_off"
               : Has  ? "in_force"
                      : "behind");
  }
  fmt::print("in_force_everywhere={}\n", Everywhere);
  return ExitSuccess;
}

int checkReleaseNote(const std::string &File) {
  const auto Text = readFile(File);
  if (!Text)
    return printFailure("can't read " + File);
  const auto Parsed = parseReleaseNote(*Text, File);
  if (!Parsed) {
    printFileErrors(Parsed.error());
    return ExitUsage;
  }
  fmt::print("ok: note {} with {} changes\n", Parsed->Id_,
             Parsed->Changes_.size());
  return ExitSuccess;
}

int publishReleaseNote(const std::string &LogUrl, const std::string &Operator,
                       const std::string &File) {
  const int Checked = checkReleaseNote(File);
  if (Checked != ExitSuccess)
    return Checked;
  ReleaseNoteRecord Note = *parseReleaseNote(*readFile(File), File);
  const auto Dump = fetchDump(Operator);
  if (!Dump)
    return printFailure("no answer from " + Operator);
  Note.BaseVersion_ = (*Dump)["release"].value("note_version", NoOffset);
  const auto Offset = appendLogRecord(LogUrl, Note);
  if (!Offset)
    return printFailure(
        "the log did not say whether it took the note; look at `note "
        "status` before publishing again");
  return awaitRecordOutcome(Operator, "release", "note_version", *Offset);
}

int printRolloutStatus(const std::string &Operator) {
  const auto Dump = fetchDump(Operator);
  if (!Dump)
    return printFailure("no answer from " + Operator);
  for (const Json &M : (*Dump)["release"]["moves"]) {
    const char *State = M.value("taken_back", false) ? "taken_back"
                        : M.value("done", false)     ? "done"
                        : M.value("late", false)     ? "late"
                                                     : "moving";
    fmt::print(
        "note={} model={} from={} to={} share={} state={} reason=\"{}\"\n",
        M.value("note", ""), M.value("model", ""), M.value("from", ""),
        M.value("to", ""), M.value("share", 0.0), State, M.value("reason", ""));
  }
  return ExitSuccess;
}

int printProcessDump(const std::string &Operator) {
  const auto Text = sendHttpRequest(fmt::format("http://{}/dump", Operator));
  if (!Text)
    return printFailure("no answer from " + Operator);
  fmt::print("{}\n", *Text);
  return ExitSuccess;
}

} // namespace endivewharf
