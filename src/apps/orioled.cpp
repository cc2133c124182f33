// The daemon of a node: reads its settings, serves until SIGTERM, then stops
// gracefully.
#include <chrono>
#include <csignal>
#include <ctime>
#include <iostream>

#include <gflags/gflags.h>

#include "framework/log.h"
#include "node/noderuntime.h"
#include "settings/nodesettingsreader.h"

DEFINE_string(settings, "", "Settings file of this node (JSON with comments)");
DEFINE_bool(check,
            false,
            "Check the settings file, print its problems and end");

namespace {

constexpr int kExitOk = 0;
constexpr int kExitCutOff = 1;
constexpr int kExitSettings = 2;
constexpr int kExitStart = 3;
constexpr int kExitSuperseded = 4;
constexpr std::chrono::milliseconds kSignalPoll{ 200 };

sigset_t
StopSignals()
{
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  return signals;
}

// Waits for a stop signal or for another process under this node's name.
bool
WaitForStop(const oriolevane::node::NodeRuntime& aNode)
{
  const sigset_t signals = StopSignals();
  const timespec poll{ .tv_sec = 0,
                       .tv_nsec =
                         std::chrono::nanoseconds(kSignalPoll).count() };
  while (!aNode.IsSuperseded()) {
    if (sigtimedwait(&signals, nullptr, &poll) > 0) {
      return true;
    }
  }
  return false;
}

int
Serve(const oriolevane::settings::NodeSettings& aSettings)
{
  using oriolevane::LogError;
  using oriolevane::LogInfo;
  const auto node = oriolevane::node::NodeRuntime::Start(aSettings);
  if (!node.ok()) {
    LogError("start_failed").With("error", node.status().ToString());
    return kExitStart;
  }
  const oriolevane::node::NodeAddresses addresses = (*node)->Addresses();
  LogInfo("listening")
    .With("address", addresses.mCallers)
    .With("peers", addresses.mPeers)
    .With("workers", addresses.mWorkers);
  if (!WaitForStop(**node)) {
    LogError("superseded");
    return kExitSuperseded;
  }
  return (*node)->Stop(aSettings.mStopGrace) ? kExitOk : kExitCutOff;
}

} // namespace

int
main(int aCount, char** aArguments)
{
  gflags::SetUsageMessage("orioled --settings FILE");
  gflags::ParseCommandLineFlags(&aCount, &aArguments, true);
  const auto settings = oriolevane::settings::LoadNodeSettings(FLAGS_settings);
  if (!settings.ok()) {
    std::cerr << settings.status().message() << '\n';
    return kExitSettings;
  }
  if (FLAGS_check) {
    std::cout << "settings are valid\n";
    return kExitOk;
  }
  const sigset_t signals = StopSignals();
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  oriolevane::SetLogLevel(settings->mLogLevel);
  oriolevane::SetLogContext("node", settings->mNode.mValue);
  return Serve(*settings);
}
