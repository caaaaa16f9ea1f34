// Starts the processes of the platform's path and speaks to them.
#include "platformcluster.h"

#include <filesystem>
#include <fmt/format.h>
#include <fstream>
#include <unistd.h>

namespace endivewharf::harness {

namespace {

constexpr int StreamEvents = 20;

std::string local(int Port) { return fmt::format("127.0.0.1:{}", Port); }

} // namespace

bool PlatformCluster::startAll(const PlatformOptions &Given) {
  Given_ = Given;
  Folder_ = (std::filesystem::temp_directory_path() /
             fmt::format("endivewharf-{}-{}", Given.Name_, getpid()))
                .string();
  std::filesystem::create_directories(Folder_);
  Store_ = freePort();
  Cloud_ = freePort();
  standin("store", "store", Store_, {});
  standin("cloud", "cloud", Cloud_, {});
  for (int I = 0; I < Given.Servers_; ++I) {
    Servers_.push_back(freePort());
    const std::string Name = fmt::format("s{}", I);
    standin(Name, "server", Servers_.back(),
            {"--name=" + Name, fmt::format("--token_ms={}", Given.TokenMs_)});
    if (Given.Relays_)
      ServerRelays_.push_back(std::make_unique<Relay>(Servers_.back()));
  }
  for (int I = 0; I < Given.Entries_; ++I) {
    Ports_.push_back({freePort(), freePort(), freePort()});
    if (Given.Relays_)
      StoreRelays_.push_back(std::make_unique<Relay>(Store_));
  }
  if (!waitFor([&] { return put("keyed.op", "config", config()); }))
    return false;
  beat();
  for (int I = 0; I < Given.Entries_; ++I)
    startEntry(I);
  for (int I = 0; I < Given.Entries_; ++I)
    if (!waitFor([&] { return get(I, "/check/1", "probe").Status_ == 200; }))
      return false;
  return true;
}

void PlatformCluster::standin(const std::string &Name, const std::string &Kind,
                              int Port, std::vector<std::string> More) {
  std::vector<std::string> Command = {std::string(BINARY_DIR) + "/standin",
                                      "--kind=" + Kind,
                                      fmt::format("--port={}", Port)};
  Command.insert(Command.end(), More.begin(), More.end());
  Children_[Name] =
      std::make_unique<Child>(Command, Folder_ + "/" + Name + ".log");
}

void PlatformCluster::startEntry(int I) {
  const std::string File = fmt::format("{}/entry-{}.ini", Folder_, I);
  const int Store = Given_.Relays_ ? StoreRelays_[I]->port() : Store_;
  std::ofstream(File) << fmt::format(
      "[entry]\nname = entry-{0}\ndata_centre = z{0}\nzone = z{0}\n"
      "listen = {1}\noperator_listen = {2}\npeer_listen = {3}\n"
      "[platform]\nstore = http://{4}\ncloud = http://{5}\n"
      "[limits]\ndrain = 5s\nstop_margin = 500ms\nunready = 500ms\n"
      "lease = 1500ms\n",
      I, local(Ports_[I].Callers_), local(Ports_[I].Operators_),
      local(Ports_[I].Peers_), local(Store), local(Cloud_));
  Children_[fmt::format("entry-{}", I)] = std::make_unique<Child>(
      std::vector<std::string>{std::string(BINARY_DIR) + "/endivewharf",
                               "serve", "--settings=" + File},
      fmt::format("{}/entry-{}.log", Folder_, I));
}

Json PlatformCluster::config(const std::string &Keys,
                             const std::string &CheckService) {
  const auto Route = [](const char *Name, const char *Path, const char *Kind,
                        const std::string &Service, int Attempts) {
    return Json{
        {"name", Name},      {"host", "shop.example"}, {"pathPrefix", Path},
        {"kind", Kind},      {"timeoutMs", 4000},      {"goalMs", 500},
        {"priority", 0},     {"service", Service},     {"attempts", Attempts},
        {"resumable", true}, {"public", false}};
  };
  return Json{
      {"version", 1},
      {"routes",
       Json::array({Route("check", "/check/", "idempotent", CheckService, 2),
                    Route("book", "/book/", "non_idempotent", "orders", 1),
                    Route("stream", "/stream/", "streaming", "orders", 2)})},
      {"services", Json::array({{{"name", "orders"}, {"maxConns", 50}}})},
      {"tenants", Json::array({{{"name", "sales"},
                                {"apiKeys", Json::parse(Keys)},
                                {"ratePerS", 0}}})}};
}

bool PlatformCluster::put(const std::string &Topic, const std::string &Key,
                          const Json &Value) const {
  const Json Body = {
      {"put",
       Json::array({{{"topic", Topic}, {"key", Key}, {"value", Value}}})}};
  return control(Store_, Body).Status_ == 200;
}

HttpAnswer PlatformCluster::control(int Port, const Json &Body) {
  return http("POST", "http://" + local(Port) + "/control", Body.dump());
}

void PlatformCluster::beat(const std::string &State) const {
  for (std::size_t I = 0; I < Servers_.size(); ++I)
    registerServer(I, I == 0 ? State : "ready");
}

void PlatformCluster::registerServer(std::size_t I, const std::string &State,
                                     int Born) const {
  const int Port = Given_.Relays_ ? ServerRelays_[I]->port() : Servers_[I];
  put("keyed.servers", fmt::format("s{}", I),
      {{"service", "orders"},
       {"address", local(Port)},
       {"zone", "z0"},
       {"version", "v1"},
       {"slots", 6},
       {"state", State},
       {"born", Born}});
}

std::string PlatformCluster::url(int Entry, const std::string &Path) const {
  return "http://" + local(Ports_[Entry].Callers_) + Path;
}

std::vector<std::string> PlatformCluster::headers(const std::string &Id,
                                                  const std::string &Key) {
  return {"Host: shop.example", "Request-Id: " + Id, "Deadline-Ms: 4000",
          "Authorization: Token " + Key};
}

HttpAnswer PlatformCluster::get(int Entry, const std::string &Path,
                                const std::string &Id,
                                const std::string &Key) const {
  return http("GET", url(Entry, Path), "", headers(Id, Key));
}

Json PlatformCluster::books(int Server) const {
  return control(Servers_[Server], Json::object()).json();
}

int PlatformCluster::runs(const std::string &Id) const {
  int Sum = 0;
  for (int I = 0; I < Given_.Servers_; ++I)
    Sum += books(I)["runs"].value(Id, 0);
  return Sum;
}

std::string PlatformCluster::wholeStream() {
  std::string Text;
  for (int I = 1; I <= StreamEvents; ++I)
    Text += fmt::format("id: {0}\ndata: piece {0}\n\n", I);
  return Text;
}

} // namespace endivewharf::harness
