// A whole cell as separate processes: platform and worker stand-ins and entry
// hosts.
#pragma once

#include <chrono>
#include <functional>
#include <string>
#include <vector>

#include <sys/types.h>

#include "integration/http.h"

namespace oriolevane::integration {

struct CellOptions
{
  int mNodes = 3;
  int mWorkers = 12;
  int mSlots = 8;
};

class Cell
{
public:
  // Starts all, applies a configuration and waits until every node and shard is
  // ready.
  explicit Cell(CellOptions aOptions = {});
  Cell(const Cell&) = delete;
  Cell& operator=(const Cell&) = delete;
  // Kills what is left.
  ~Cell();

  int NodeCount() const { return mOptions.mNodes; }
  std::string NodeAddress(int aNode) const;
  std::string PlatformAddress() const;
  std::string WorkersAddress() const;

  void StartNode(int aNode);
  pid_t Pid(int aNode) const { return mPids[static_cast<std::size_t>(aNode)]; }
  void Signal(int aNode, int aSignal) const;
  // Kills and reaps.
  void Kill(int aNode);
  // SIGTERM, then waits for the end; the exit code, or -1 when a signal ended
  // it.
  int StopGracefully(int aNode);
  // Waits for the end of a process that was told to end already.
  int Reap(int aNode);

  // Each node that runs is ready, and every shard has a ready owner.
  void AwaitReady() const;
  HttpResult Submit(int aNode,
                    const std::string& aKey,
                    const nlohmann::json& aBody) const;
  HttpResult Control(const std::string& aAddress,
                     const std::string& aPath) const;
  std::string LogPath() const { return mFolder; }

private:
  std::string Ip(int aLast) const;
  void WriteHosts() const;
  std::string WriteSettings(int aNode) const;
  bool IsReady() const;
  pid_t Launch(const std::string& aProgram,
               const std::vector<std::string>& aArguments,
               const std::string& aLog) const;

  CellOptions mOptions;
  std::string mFolder;
  std::string mNetwork;
  pid_t mPlatform = 0;
  pid_t mWorkers = 0;
  // By node; zero when not running.
  std::vector<pid_t> mPids;
};

// Checks every few milliseconds until the condition holds; fails the test after
// a generous time.
void
Await(const std::string& aWhat, const std::function<bool()>& aCondition);

} // namespace oriolevane::integration
