// Decides which tasks go to the workers on which they take the least time.
//
// It answers loads of short and of long jobs on workers of unequal speed: a
// short job whose task fails, or waits during a takeover, can still end in time
// on a fast worker, while a long one has slack enough on a slow one.
#pragma once

#include <cstdint>
#include <map>
#include <set>

#include "jobs/internal/job.h"

namespace oriolevane::jobs {

// Processors by pool, in thousandths of a core.
using PoolMilliCores = std::map<PoolName, std::int64_t>;

class SpeedPreference
{
public:
  // Begins a placement pass, with what the gangs of each pool need and what its
  // workers have. Where gangs need much of a pool, its short jobs are packed on
  // few workers, as spreading them would leave no empty ones.
  void BeginPass(const PoolMilliCores& aGangDemand,
                 const PoolMilliCores& aCapacity);
  // True for the tasks of a step of a short job, in a pool whose gangs need
  // little.
  bool PrefersFast(const Job& aJob, int aStep) const;

private:
  // The pools whose short jobs are packed.
  std::set<PoolName> mPacked;
};

} // namespace oriolevane::jobs
