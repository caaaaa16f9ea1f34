// Command line of the binary: the words before the first option are the
// command.
#include "commands.h"
#include "load.h"

#include <curl/curl.h>
#include <fmt/format.h>
#include <functional>
#include <gflags/gflags.h>
#include <map>
#include <sstream>
#include <string_view>

DEFINE_string(settings, "", "settings file of the process");
DEFINE_string(file, "", "file with a configuration or release note");
DEFINE_string(log, "http://127.0.0.1:9200", "URL of the log service");
DEFINE_string(operator, "127.0.0.1:9100",
              "address of a process's operator interface");
DEFINE_string(entries, "", "load: entry processes, ip:port,ip:port");
DEFINE_string(keys, "", "load: API keys; the first sends most requests");
DEFINE_string(model, "", "load: model of the completions");
DEFINE_string(service, "", "load: plain service for bookings");
DEFINE_double(rate, 20, "load: requests per second");
DEFINE_double(seconds, 5, "load: duration");
DEFINE_double(batch, 0.3, "load: fraction of completions with batch priority");
DEFINE_double(bookings, 0.1, "load: fraction of requests that are bookings");
DEFINE_int32(max_tokens, 30, "load: maximum number of tokens per answer");
DEFINE_int32(prompt_words, 100, "load: words per prompt");
DEFINE_uint64(seed, 1, "load: random seed");
DEFINE_bool(json, false, "load: print the report as JSON");

namespace {

constexpr std::string_view ProgramVersion = "0.1.0";

constexpr std::string_view HelpText =
    R"(endivewharf serves language models and plain services on reclaimable hosts.

usage: endivewharf COMMAND [OPTION...]

  serve --settings=FILE        run an entry process
  check --settings=FILE        report every error in a settings file
  config check --file=FILE     report every error in a configuration
  config publish --file=FILE --log=URL --operator=IP:PORT
                               publish a configuration as the successor of
                               the one that the process has in force
  config status --operator=IP:PORT
                               show where the configuration is in force
  note check --file=FILE       report every error in a release note
  note publish --file=FILE --log=URL --operator=IP:PORT
                               publish a release note
  note status --operator=IP:PORT
                               print the state and reason of each rollout
  dump --operator=IP:PORT      print the whole state of a process as JSON
  load --entries=IP:PORT,... --keys=KEY,... --model=NAME [--service=NAME]
       [--rate=N] [--seconds=N] [--batch=SHARE] [--bookings=SHARE]
       [--max_tokens=N] [--prompt_words=N] [--seed=N] [--json]
                               send open-loop load and print a report

  --help, --version

exit codes: 0 success, 1 failure, 2 wrong usage or a file with errors
)";

/// @return the parts of a list that commas separate, without empty ones
std::vector<std::string> splitList(const std::string &Text) {
  std::vector<std::string> Items;
  std::stringstream Stream(Text);
  for (std::string Item; std::getline(Stream, Item, ',');)
    if (!Item.empty())
      Items.push_back(Item);
  return Items;
}

/// Runs the load generator with the options of the command line.
/// @return exit code of the process
int loadGeneratorCommand() {
  endivewharf::LoadGeneratorOptions Options;
  Options.Addresses_ = splitList(FLAGS_entries);
  Options.ApiKeys_ = splitList(FLAGS_keys);
  if (Options.Addresses_.empty() || Options.ApiKeys_.empty()) {
    fmt::print(stderr, "endivewharf: load needs --entries and --keys\n");
    return endivewharf::ExitUsage;
  }
  Options.Model_ = FLAGS_model;
  Options.Service_ = FLAGS_service;
  Options.RequestsPerSecond_ = FLAGS_rate;
  Options.DurationSeconds_ = FLAGS_seconds;
  Options.BatchShare_ = FLAGS_batch;
  Options.BookingFraction_ = FLAGS_bookings;
  Options.MaxTokens_ = FLAGS_max_tokens;
  Options.PromptWords_ = FLAGS_prompt_words;
  Options.Seed_ = FLAGS_seed;
  Options.ReportAsJson_ = FLAGS_json;
  return endivewharf::runLoadGenerator(Options);
}

/// @return commands by their words; each returns the exit code of the process
const std::map<std::string, std::function<int()>> &commandTable() {
  using namespace endivewharf;
  static const std::map<std::string, std::function<int()>> Commands = {
      {"serve", [] { return serveCommand(FLAGS_settings); }},
      {"check", [] { return checkSettings(FLAGS_settings); }},
      {"config check", [] { return checkConfiguration(FLAGS_file); }},
      {"config publish",
       [] {
         return publishConfiguration(FLAGS_log, FLAGS_operator, FLAGS_file);
       }},
      {"config status",
       [] { return printConfigurationStatus(FLAGS_operator); }},
      {"note check", [] { return checkReleaseNote(FLAGS_file); }},
      {"note publish",
       [] {
         return publishReleaseNote(FLAGS_log, FLAGS_operator, FLAGS_file);
       }},
      {"note status", [] { return printRolloutStatus(FLAGS_operator); }},
      {"dump", [] { return printProcessDump(FLAGS_operator); }},
      {"load", [] { return loadGeneratorCommand(); }},
  };
  return Commands;
}

} // namespace

int main(int Argc, char **Argv) {
  for (int I = 1; I < Argc; ++I) {
    const std::string_view Argument = Argv[I];
    if (Argument == "--help" || Argument == "-h") {
      fmt::print("{}", HelpText);
      return endivewharf::ExitSuccess;
    }
    if (Argument == "--version") {
      fmt::print("endivewharf {}\n", ProgramVersion);
      return endivewharf::ExitSuccess;
    }
  }
  std::string Command;
  int FirstOption = 1;
  for (; FirstOption < Argc && Argv[FirstOption][0] != '-'; ++FirstOption)
    Command += (Command.empty() ? "" : " ") + std::string(Argv[FirstOption]);
  const auto Found = commandTable().find(Command);
  if (Found == commandTable().end()) {
    fmt::print(stderr, "endivewharf: unknown command \"{}\"\n{}", Command,
               HelpText);
    return endivewharf::ExitUsage;
  }
  gflags::ParseCommandLineFlags(&Argc, &Argv, true);
  curl_global_init(CURL_GLOBAL_DEFAULT);
  return Found->second();
}
