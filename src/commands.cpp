// Commands for operators: check files, publish them to the log, and print the
// state of processes.
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

/// Write callback of curl: appends received bytes to a string.
std::size_t appendToBody(char *Data, std::size_t Size, std::size_t Count,
                         void *UserData) {
  static_cast<std::string *>(UserData)->append(Data, Size * Count);
  return Size * Count;
}

/// Sends a blocking HTTP request: GET, or POST if there is a body.
/// @return the body of an answer with status 200; nothing after another status,
/// an error or a timeout
std::optional<std::string> sendHttpRequest(const std::string &Url,
                                           const std::string &Body = "") {
  CURL *Handle = curl_easy_init();
  std::string Answer;
  curl_easy_setopt(Handle, CURLOPT_URL, Url.c_str());
  curl_easy_setopt(Handle, CURLOPT_TIMEOUT_MS, HttpTimeoutMs);
  curl_easy_setopt(Handle, CURLOPT_PROXY, "");
  curl_easy_setopt(Handle, CURLOPT_WRITEFUNCTION, &appendToBody);
  curl_easy_setopt(Handle, CURLOPT_WRITEDATA, &Answer);
  if (!Body.empty())
    curl_easy_setopt(Handle, CURLOPT_POSTFIELDS, Body.c_str());
  const CURLcode Code = curl_easy_perform(Handle);
  long Status = 0;
  curl_easy_getinfo(Handle, CURLINFO_RESPONSE_CODE, &Status);
  curl_easy_cleanup(Handle);
  if (Code != CURLE_OK || Status != 200)
    return std::nullopt;
  return Answer;
}

/// @return the content of a file, or nothing if it can't be opened
std::optional<std::string> readFile(const std::string &Path) {
  std::ifstream Stream(Path);
  if (!Stream)
    return std::nullopt;
  std::ostringstream Text;
  Text << Stream.rdbuf();
  return Text.str();
}

/// Fetches the state of a process from its operator interface.
/// @return a JSON object, or nothing if there was no valid answer
std::optional<Json> fetchDump(const std::string &OperatorAddress) {
  const auto Text =
      sendHttpRequest(fmt::format("http://{}/dump", OperatorAddress));
  if (!Text)
    return std::nullopt;
  Json Body = Json::parse(*Text, nullptr, false);
  if (!Body.is_object())
    return std::nullopt;
  return Body;
}

/// Prints an error message on standard error.
/// @return ExitFailure
int printFailure(const std::string &Reason) {
  fmt::print(stderr, "endivewharf: {}\n", Reason);
  return ExitFailure;
}

/// Appends one record to the log.
/// @return the offset of the record; nothing if the log did not confirm it, in
/// which case the record may still have been appended
std::optional<LogOffset> appendLogRecord(const std::string &LogUrl,
                                         const LogRecord &Record) {
  const Json Body = {{"records", Json::array({encodeRecord(Record)})}};
  const auto Answer = sendHttpRequest(LogUrl + "/append", Body.dump());
  if (!Answer)
    return std::nullopt;
  const Json Reply = Json::parse(*Answer, nullptr, false);
  if (!Reply.is_object() || !Reply.contains("offset"))
    return std::nullopt;
  return Reply["offset"].get<LogOffset>();
}

/// Waits until a process has applied or rejected a record, and prints which.
/// @param Section part of the process's dump that shows the outcome
/// @param VersionKey key of the applied version within the section
/// @param Offset offset of the record in the log
/// @return ExitSuccess if the record was applied; ExitFailure if it was
/// rejected or no outcome was seen in MaxStatusPolls polls
int awaitRecordOutcome(const std::string &OperatorAddress, const char *Section,
                       const char *VersionKey, LogOffset Offset) {
  for (int I = 0; I < MaxStatusPolls; ++I) {
    const auto Dump = fetchDump(OperatorAddress);
    if (Dump) {
      const Json &SectionState = (*Dump)[Section];
      const Json Rejected = SectionState.value("rejected", Json::object());
      const auto Found = Rejected.find(std::to_string(Offset));
      if (Found != Rejected.end())
        return printFailure(
            fmt::format("rejected: {}", Found->get<std::string>()));
      if (SectionState.value(VersionKey, NoOffset) >= Offset) {
        fmt::print("version={} state=in_force_at_{}\n", Offset,
                   OperatorAddress);
        return ExitSuccess;
      }
    }
    std::this_thread::sleep_for(StatusPollInterval);
  }
  return printFailure(fmt::format("version {} was appended to the log, but {} "
                                  "has neither applied nor rejected it yet",
                                  Offset, OperatorAddress));
}

} // namespace

void printFileErrors(const FileErrors &Errors) {
  for (const FileError &Error : Errors)
    fmt::print(stderr, "{}\n", describe(Error));
}

int checkSettings(const std::string &Path) {
  const auto Result = readSettings(Path);
  if (!Result) {
    printFileErrors(Result.error());
    return ExitUsage;
  }
  printFileErrors(Result->ReplacedValues_);
  fmt::print("ok: {} in {}, {} peers\n", Result->Name_, Result->DataCentre_,
             Result->Peers_.size());
  return ExitSuccess;
}

int serveCommand(const std::string &Path) {
  const auto Result = readSettings(Path);
  if (!Result) {
    printFileErrors(Result.error());
    return ExitUsage;
  }
  return runEntryProcess(*Result, Path);
}

int checkConfiguration(const std::string &File) {
  const auto Text = readFile(File);
  if (!Text)
    return printFailure("cannot read file " + File);
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

int publishConfiguration(const std::string &LogUrl,
                         const std::string &OperatorAddress,
                         const std::string &File) {
  const int ExitCode = checkConfiguration(File);
  if (ExitCode != ExitSuccess)
    return ExitCode;
  const auto Dump = fetchDump(OperatorAddress);
  if (!Dump)
    return printFailure("no valid /dump answer from " + OperatorAddress);
  const LogOffset Base = (*Dump)["config"].value("version", NoOffset);
  const auto Offset =
      appendLogRecord(LogUrl, ConfigRecord{Base, *readFile(File)});
  if (!Offset)
    return printFailure(
        "the log did not confirm the configuration, which may have been "
        "appended; check `config status` before publishing again");
  return awaitRecordOutcome(OperatorAddress, "config", "version", *Offset);
}

int printConfigurationStatus(const std::string &OperatorAddress) {
  const auto Dump = fetchDump(OperatorAddress);
  if (!Dump)
    return printFailure("no valid /dump answer from " + OperatorAddress);
  const LogOffset Version = (*Dump)["config"].value("version", NoOffset);
  fmt::print("version={}\n", Version);
  bool InForceEverywhere = true;
  for (const Json &Peer : (*Dump)["members"]) {
    const bool Alive = Peer.value("alive", false);
    const bool UpToDate = Peer.value("config_version", NoOffset) >= Version;
    InForceEverywhere = InForceEverywhere && Alive && UpToDate;
    fmt::print("process={} state={}\n", Peer.value("name", ""),
               !Alive     ? "cut_off"
               : UpToDate ? "in_force"
                          : "behind");
  }
  fmt::print("in_force_everywhere={}\n", InForceEverywhere);
  return ExitSuccess;
}

int checkReleaseNote(const std::string &File) {
  const auto Text = readFile(File);
  if (!Text)
    return printFailure("cannot read file " + File);
  const auto Parsed = parseReleaseNote(*Text, File);
  if (!Parsed) {
    printFileErrors(Parsed.error());
    return ExitUsage;
  }
  fmt::print("ok: note {} with {} changes\n", Parsed->Id_,
             Parsed->Changes_.size());
  return ExitSuccess;
}

int publishReleaseNote(const std::string &LogUrl,
                       const std::string &OperatorAddress,
                       const std::string &File) {
  const int ExitCode = checkReleaseNote(File);
  if (ExitCode != ExitSuccess)
    return ExitCode;
  ReleaseNoteRecord Note = *parseReleaseNote(*readFile(File), File);
  const auto Dump = fetchDump(OperatorAddress);
  if (!Dump)
    return printFailure("no valid /dump answer from " + OperatorAddress);
  Note.BaseVersion_ = (*Dump)["release"].value("note_version", NoOffset);
  const auto Offset = appendLogRecord(LogUrl, Note);
  if (!Offset)
    return printFailure(
        "the log did not confirm the release note, which may have been "
        "appended; check `note status` before publishing again");
  return awaitRecordOutcome(OperatorAddress, "release", "note_version",
                            *Offset);
}

int printRolloutStatus(const std::string &OperatorAddress) {
  const auto Dump = fetchDump(OperatorAddress);
  if (!Dump)
    return printFailure("no valid /dump answer from " + OperatorAddress);
  for (const Json &Rollout : (*Dump)["release"]["moves"]) {
    const char *State = Rollout.value("taken_back", false) ? "taken_back"
                        : Rollout.value("done", false)     ? "done"
                        : Rollout.value("late", false)     ? "late"
                                                           : "moving";
    fmt::print(
        "note={} model={} from={} to={} share={} state={} reason=\"{}\"\n",
        Rollout.value("note", ""), Rollout.value("model", ""),
        Rollout.value("from", ""), Rollout.value("to", ""),
        Rollout.value("share", 0.0), State, Rollout.value("reason", ""));
  }
  return ExitSuccess;
}

int printProcessDump(const std::string &OperatorAddress) {
  const auto Text =
      sendHttpRequest(fmt::format("http://{}/dump", OperatorAddress));
  if (!Text)
    return printFailure("no valid /dump answer from " + OperatorAddress);
  fmt::print("{}\n", *Text);
  return ExitSuccess;
}

} // namespace endivewharf
