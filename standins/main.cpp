// Entry point of the stand-ins for the platform and the upstreams, which demos
// and tests use. One process runs one stand-in; POST /control sets its faults.
#include "web.h"

#include <csignal>
#include <cstdio>
#include <gflags/gflags.h>

DEFINE_string(kind, "", "engine, plain, log, hosts, cloud, store or server");
DEFINE_int32(port, 0, "port on 127.0.0.1");
DEFINE_string(models, "", "engine: model@version,model@version");
DEFINE_int32(slots, 8, "engine: requests that run at the same time");
DEFINE_int32(queue, 32, "engine: longest queue, in requests");
DEFINE_double(token_ms, 5, "engine: time per generated token, in ms");
DEFINE_double(prefill_us, 100, "engine: time per uncached prompt token, in us");
DEFINE_int32(cache_blocks, 512, "engine: prefix cache capacity, in blocks");
DEFINE_int32(load_ms, 300, "engine: time to load a version, in ms");
DEFINE_int32(lag_ms, 100, "engine and hosts: delay of reported changes, in ms");
DEFINE_string(name, "",
              "server: name that a request's Expect-Instance must have");
DEFINE_bool(check_epoch, true,
            "engine: refuse load commands with a stale fencing token");

int main(int Argc, char **Argv) {
  gflags::ParseCommandLineFlags(&Argc, &Argv, true);
  std::signal(SIGPIPE, SIG_IGN);
  asio::io_context Io(1);
  const standin::StandInOptions Options{
      FLAGS_port,     FLAGS_models,      FLAGS_slots,        FLAGS_queue,
      FLAGS_token_ms, FLAGS_prefill_us,  FLAGS_cache_blocks, FLAGS_load_ms,
      FLAGS_lag_ms,   FLAGS_check_epoch, FLAGS_name};
  if (FLAGS_kind == "engine")
    standin::startEngine(Io, Options);
  else if (FLAGS_kind == "plain")
    standin::startPlainService(Io, Options);
  else if (FLAGS_kind == "log")
    standin::startLogService(Io, Options);
  else if (FLAGS_kind == "hosts")
    standin::startHostListService(Io, Options);
  else if (FLAGS_kind == "cloud")
    standin::startCloudApi(Io, Options);
  else if (FLAGS_kind == "store")
    standin::startStoreService(Io, Options);
  else if (FLAGS_kind == "server")
    standin::startPlatformServer(Io, Options);
  else {
    std::fputs(
        "standin: --kind must be engine, plain, log, hosts, cloud, store "
        "or server\n",
        stderr);
    return 2;
  }
  Io.run();
  return 0;
}
