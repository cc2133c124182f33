// What all cases share: a platform with workers, and clients of the nodes.
#pragma once

#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "platform.h"

namespace review {

// The exit codes of a case.
enum class Verdict
{
  Held = 0,
  Broken = 1,
  NotRun = 2
};

struct ScenarioOptions
{
  // The first three numbers of all addresses. Node N has the address mNet.10N.
  std::string mNet;
  int mNodes = 3;
  // False to do the same without the disruption.
  bool mTrouble = true;
  std::string mRecordFile;
};

class Scenario
{
public:
  explicit Scenario(const ScenarioOptions& aOptions);

  bool HasTrouble() const { return mOptions.mTrouble; }
  int Nodes() const { return mOptions.mNodes; }
  Platform& World() { return mPlatform; }
  Record& Log() { return mRecord; }
  // Starts workers of a service: mKinds holds the kind of each.
  void StartWorkers(const std::string& aService,
                    const std::vector<std::string>& aKinds);
  // The options of a worker, for its first life or a later one.
  WorkerOptions WorkerOf(const std::string& aService,
                         int aIndex,
                         const std::string& aKind) const;
  // Waits until all nodes report that they are ready.
  bool AwaitReady(Millis aTimeout);
  // Sends one request to a node, and records it with its answer.
  Response Send(int aNode,
                const std::string& aMethod,
                const std::string& aPath,
                const std::string& aBody = "");
  // Submits a job as a client does, with at most four retries: after no
  // response, 502 or 504 it sends the same id to the next node at once, after
  // 429 or 503 a second later. Returns the last answer.
  Response Submit(int aNode,
                  const std::string& aPath,
                  const std::string& aBody);
  // Asks for a job's state at each node in turn until one gives it. Returns the
  // state, or the status of the last answer as a text.
  std::string StateOf(const std::string& aPath);
  // Waits until a job has the state.
  bool AwaitState(const std::string& aPath,
                  const std::string& aState,
                  Millis aTimeout);

private:
  ScenarioOptions mOptions;
  Record mRecord;
  Platform mPlatform;
};

constexpr int kRacks = 4;
// The rack of the workers whose number leaves this rest.
std::string
RackOf(int aIndex);

// A job id, from a number.
std::string
JobId(std::uint64_t aNumber);

void
Sleep(Millis aTime);

// The cases. Each returns whether the rule was broken.
Verdict
RunManyDependencies(Scenario& aScenario);
Verdict
RunRemovedQueue(Scenario& aScenario);
Verdict
RunOtherKind(Scenario& aScenario);
Verdict
RunWaitingGang(Scenario& aScenario);
Verdict
RunForeignEntry(Scenario& aScenario);

} // namespace review
