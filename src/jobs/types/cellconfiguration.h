// The operator's configuration of a cell: its queues and worker pools.
#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <vector>

#include "framework/types/ids.h"
#include "jobs/types/taskkey.h"
#include "teams/types/teampolicy.h"

namespace oriolevane::jobs {

// Limits of the policy service, which decides which workers may run a step. It
// handles the calls of one host one after another.
struct AdvicePolicy
{
  // A call takes mDecisionTime, and mTimePerWorker more for each worker that it
  // names.
  std::chrono::microseconds mDecisionTime{ 0 };
  std::chrono::microseconds mTimePerWorker{ 0 };
  // How long a ticket can be used after it was issued.
  std::chrono::milliseconds mValidity{ 0 };

  bool operator==(const AdvicePolicy&) const = default;
};

// A queue's configuration.
struct QueuePolicy
{
  QueueName mName;
  // A request goes to the queue with its host and the longest matching path
  // prefix.
  std::string mHost;
  std::string mPathPrefix;
  PoolName mPool;
  // 0 is the highest priority.
  int mPriority = 0;
  // Number of failed runs of a task, or of a gang as a whole, after which the
  // job fails.
  int mMaxAttempts = 1;
  // A job should be done within the length of its critical path times mStretch,
  // plus mLatencyTarget.
  double mStretch = 1.0;
  std::chrono::milliseconds mLatencyTarget{ 0 };
  // Empty when the queue needs no approval by the policy service.
  std::optional<AdvicePolicy> mAdvice;
  // Callers need no key, and the queue's jobs belong to no team.
  bool mPublic = false;

  bool operator==(const QueuePolicy&) const = default;
};

// A worker pool's configuration.
struct PoolPolicy
{
  PoolName mName;
  // The workers refuse tasks that exceed their free capacity.
  bool mEnforcesCapacity = false;
  // The machines of the pool are switched off.
  bool mStandby = false;

  bool operator==(const PoolPolicy&) const = default;
};

// One version of the configuration.
struct CellConfiguration
{
  ConfigurationVersion mVersion;
  std::vector<QueuePolicy> mQueues;
  std::vector<PoolPolicy> mPools;
  // The teams whose callers the cell serves. Empty when callers need no keys
  // and there are no teams.
  std::optional<std::vector<teams::TeamPolicy>> mTeams;

  // Returns nullptr when there is no such queue.
  const QueuePolicy* FindQueue(const QueueName& aName) const;
};

} // namespace oriolevane::jobs
