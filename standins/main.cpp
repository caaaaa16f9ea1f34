// Stand-ins for the platform and the upstreams, for demos and tests: one
// process per call, faults set by POST /control.
#include "web.h"

#include <csignal>
#include <cstdio>
#include <gflags/gflags.h>

DEFINE_string(kind, "", "engine, plain, log, hosts, cloud, store or server");
DEFINE_int32(port, 0, "port on 127.0.0.1");
DEFINE_string(models, "", "engine: model@version,model@version");
DEFINE_int32(slots, 8, "engine: requests at once");
DEFINE_int32(queue, 32, "engine: requests that may wait");
DEFINE_double(token_ms, 5, "engine: time per token");
DEFINE_double(prefill_us, 100, "engine: time per uncached prompt token");
DEFINE_int32(cache_blocks, 512, "engine: prefix cache size");
DEFINE_int32(load_ms, 300, "engine: time to load a version");
DEFINE_int32(lag_ms, 100, "engine and hosts: lag of reports");
DEFINE_string(name, "", "server: name that requests must expect");
DEFINE_bool(check_epoch, true, "engine: refuse old fencing numbers");

int main(int Argc, char **Argv) {
  gflags::ParseCommandLineFlags(&Argc, &Argv, true);
  std::signal(SIGPIPE, SIG_IGN);
  asio::io_context Io(1);
  const standin::StandInOptions From{
      FLAGS_port,     FLAGS_models,      FLAGS_slots,        FLAGS_queue,
      FLAGS_token_ms, FLAGS_prefill_us,  FLAGS_cache_blocks, FLAGS_load_ms,
      FLAGS_lag_ms,   FLAGS_check_epoch, FLAGS_name};
  if (FLAGS_kind == "engine")
    standin::startEngine(Io, From);
  else if (FLAGS_kind == "plain")
    standin::startPlainService(Io, From);
  else if (FLAGS_kind == "log")
    standin::startLogService(Io, From);
  else if (FLAGS_kind == "hosts")
    standin::startHostListService(Io, From);
  else if (FLAGS_kind == "cloud")
    standin::startCloudApi(Io, From);
  else if (FLAGS_kind == "store")
    standin::startStoreService(Io, From);
  else if (FLAGS_kind == "server")
    standin::startPlatformServer(Io, From);
  else {
    std::fputs("standin: --kind is engine, plain, log, hosts, cloud, store or "
               "server\n",
               stderr);
    return 2;
  }
  Io.run();
  return 0;
}
