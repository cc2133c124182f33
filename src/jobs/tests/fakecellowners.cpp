// The part of the simulated cell that configures and replaces its owners.
#include <algorithm>
#include <variant>

#include "jobs/tests/fakecell.h"

namespace oriolevane::jobs {

void
FakeCell::BeginOwner()
{
  mOwner = std::make_shared<Owner>();
  mOwner->mScheduler = std::make_unique<CellScheduler>(
    SchedulingOptions(), MakeSchedulerHooks(mOwner));
  mScheduler = mOwner->mScheduler.get();
}

void
FakeCell::Configure(std::vector<teams::TeamPolicy> aTeams)
{
  mConfiguration.mTeams = std::move(aTeams);
  ConfigureOwner();
}

void
FakeCell::ConfigureOwner()
{
  mScheduler->Configure(mConfiguration, NowMoment());
}

void
FakeCell::TakeOver(Millis aStaleOwnerRunTime)
{
  mWriteInProgress = false;
  mOwner->mReplacedAt = mNow;
  mOwner->mUntil = mNow + aStaleOwnerRunTime;
  mStaleOwners.push_back(mOwner);
  ++mEpoch.mValue;
  BeginOwner();
  CellRecords records;
  for (const auto& [key, value] : mRecords) {
    if (const auto* job = std::get_if<JobRecord>(&value)) {
      records.mJobs.push_back(*job);
    } else if (const auto* progress = std::get_if<ProgressRecord>(&value)) {
      records.mProgress.push_back(*progress);
    } else if (const auto* finished = std::get_if<FinishedRecord>(&value)) {
      records.mFinished.push_back(*finished);
    } else if (const auto* worker = std::get_if<WorkerRecord>(&value)) {
      records.mWorkers.push_back(*worker);
    }
  }
  NoteMissedCrashes();
  if (mOwnerConfiguration == OwnerConfiguration::BeforeRecords) {
    ConfigureOwner();
  }
  mScheduler->Recover(records, NowMoment());
  if (mOwnerConfiguration == OwnerConfiguration::AfterRecords) {
    ConfigureOwner();
  }
  for (std::size_t index = 0; index < mWorkers.size(); ++index) {
    if (mWorkers[index]->IsUp()) {
      mScheduler->RegisterWorker(PublishedEntry(index), NowMoment());
    }
  }
}

void
FakeCell::HandOver()
{
  mScheduler->EndOwnership();
  const RunEnds ends = mScheduler->SilentWorkersRunEnds(NowMoment().mSteady);
  const bool onlyOwner =
    std::ranges::none_of(mStaleOwners, [this](const OwnerPointer& aOwner) {
      return aOwner->IsRunning(mNow);
    });
  TakeOver();
  if (onlyOwner) {
    mScheduler->OnPredecessorGone(NowMoment(), ends);
  }
}

} // namespace oriolevane::jobs
