// The configuration that the operator keeps: queues, pools of workers.
#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <vector>

#include "framework/types/ids.h"
#include "jobs/types/taskkey.h"

namespace oriolevane::jobs {

// A policy service says which workers may run a step. It handles the calls of
// one host in turn.
struct AdvicePolicy
{
  // Time of one call, and of each worker named in it.
  std::chrono::microseconds mDecisionTime{ 0 };
  std::chrono::microseconds mTimePerWorker{ 0 };
  // How long a ticket can be used.
  std::chrono::milliseconds mValidity{ 0 };

  bool operator==(const AdvicePolicy&) const = default;
};

struct QueuePolicy
{
  QueueName mName;
  // Callers choose the queue by host and by the longest path prefix.
  std::string mHost;
  std::string mPathPrefix;
  PoolName mPool;
  // 0 comes first.
  int mPriority = 0;
  // Failed runs after which a task fails its job.
  int mMostAttempts = 1;
  // The objective for a job is its longest chain of work times this, and the
  // latency target more.
  double mStretch = 1.0;
  std::chrono::milliseconds mLatencyTarget{ 0 };
  std::optional<AdvicePolicy> mAdvice;

  bool operator==(const QueuePolicy&) const = default;
};

struct PoolPolicy
{
  PoolName mName;
  // The workers themselves refuse what does not fit.
  bool mGuardsCapacity = false;
  // The machines of the pool are switched off.
  bool mStandby = false;

  bool operator==(const PoolPolicy&) const = default;
};

struct CellConfiguration
{
  ConfigurationVersion mVersion;
  std::vector<QueuePolicy> mQueues;
  std::vector<PoolPolicy> mPools;

  const QueuePolicy* FindQueue(const QueueName& aName) const;
};

} // namespace oriolevane::jobs
