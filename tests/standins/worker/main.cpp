#include <csignal>
#include <cstdint>

#include <gflags/gflags.h>

#include "framework/log.h"
#include "standins/worker/workerserver.h"

DEFINE_string(listen, "127.0.0.1:0", "IP and port to listen on");
DEFINE_uint64(workers, 1, "number of workers in this process");
DEFINE_string(prefix, "w", "workers are named with this and a number from 0");
DEFINE_uint64(seed, 1, "seed of incarnations, clocks and delays");
DEFINE_int64(milli_cores, 64000, "processors of each worker, in thousandths");
DEFINE_int64(memory_mib, 262144, "memory of each worker in MiB");
DEFINE_int64(accelerators, 0, "accelerators of each worker");
DEFINE_int64(slots, 8, "task slots of each worker");

using oriolevane::LogError;
using oriolevane::LogInfo;
using oriolevane::standins::WorkerFleetOptions;
using oriolevane::standins::WorkerServer;

int
main(int aCount, char** aArguments)
{
  gflags::ParseCommandLineFlags(&aCount, &aArguments, true);
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGINT);
  sigaddset(&signals, SIGTERM);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);

  const auto server = WorkerServer::Start(
    FLAGS_listen,
    WorkerFleetOptions{ .mWorkers = FLAGS_workers,
                        .mPrefix = FLAGS_prefix,
                        .mCapacity = { .mMilliCores = FLAGS_milli_cores,
                                       .mMemoryMiB = FLAGS_memory_mib,
                                       .mAccelerators = FLAGS_accelerators,
                                       .mSlots = FLAGS_slots },
                        .mSeed = FLAGS_seed });
  if (!server.ok()) {
    LogError("listen_failed").With("reason", server.status().ToString());
    return 1;
  }
  LogInfo("listening").With("address", (*server)->Address());
  int received = 0;
  sigwait(&signals, &received);
  LogInfo("stopping").With("signal", received);
  return 0;
}
