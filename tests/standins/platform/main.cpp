// The platform stand-in as a program: table, object store and host list in
// memory over HTTP, with faults on demand. Ends on SIGTERM or SIGINT.
#include <csignal>
#include <fstream>
#include <iterator>
#include <string>

#include <gflags/gflags.h>

#include "framework/log.h"
#include "standins/platform/platformserver.h"
#include "store/tablewire.h"

DEFINE_string(listen, "127.0.0.1:0", "IP:port; port 0 takes a free one");
DEFINE_string(hosts, "", "JSON file with the list of workers");
DEFINE_uint64(seed, 1, "seed of the random faults");

namespace oriolevane::standins {

namespace {

absl::StatusOr<std::vector<store::HostEntry>>
LoadHosts(const std::string& aFile)
{
  if (aFile.empty()) {
    return std::vector<store::HostEntry>{};
  }
  std::ifstream stream(aFile, std::ios::binary);
  if (!stream) {
    return absl::NotFoundError("cannot read " + aFile);
  }
  return store::DecodeHosts(
    std::string(std::istreambuf_iterator<char>(stream), {}));
}

int
WaitForStopSignal()
{
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  int received = 0;
  sigwait(&signals, &received);
  return received;
}

void
BlockStopSignals()
{
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
}

int
Run()
{
  BlockStopSignals();
  auto hosts = LoadHosts(FLAGS_hosts);
  if (!hosts.ok()) {
    LogError("hosts_rejected").With("error", hosts.status().ToString());
    return 2;
  }
  auto server = PlatformServer::Start({ .mListen = FLAGS_listen,
                                        .mHosts = *std::move(hosts),
                                        .mSeed = FLAGS_seed });
  if (!server.ok()) {
    LogError("listen_failed").With("error", server.status().ToString());
    return 1;
  }
  LogInfo("listening").With("address", (*server)->Address());
  const int received = WaitForStopSignal();
  LogInfo("stopping").With("signal", received);
  return 0;
}

} // namespace

} // namespace oriolevane::standins

int
main(int aCount, char** aArguments)
{
  gflags::ParseCommandLineFlags(&aCount, &aArguments, true);
  return oriolevane::standins::Run();
}
