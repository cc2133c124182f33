#include "standins/platform/faultplan.h"

namespace oriolevane::standins {

FaultPlan::FaultPlan(std::uint64_t aSeed)
  : mRandom(aSeed)
{
}

void
FaultPlan::SetOutage(Outage aOutage)
{
  {
    const std::lock_guard lock(mMutex);
    mOutage = aOutage;
  }
  mChanged.notify_all();
}

void
FaultPlan::SetDelay(std::chrono::milliseconds aDelay)
{
  const std::lock_guard lock(mMutex);
  mDelay = aDelay;
}

void
FaultPlan::LoseNextAnswers(std::uint64_t aCount)
{
  const std::lock_guard lock(mMutex);
  mAnswersToLose = aCount;
}

void
FaultPlan::SetLossProbability(double aProbability)
{
  const std::lock_guard lock(mMutex);
  mLossProbability = aProbability;
}

Admission
FaultPlan::Admit()
{
  std::unique_lock lock(mMutex);
  if (mDelay.count() > 0) {
    mChanged.wait_for(lock, mDelay, [this] { return mStopped; });
  }
  if (mOutage == Outage::Refuse) {
    return Admission::Refuse;
  }
  if (mOutage == Outage::None) {
    return Admission::Serve;
  }
  const Outage met = mOutage;
  mChanged.wait(lock, [&] { return mStopped || mOutage != met; });
  if (met == Outage::Late && !mStopped) {
    return Admission::ServeSilently;
  }
  return Admission::Drop;
}

bool
FaultPlan::LosesAnswer()
{
  const std::lock_guard lock(mMutex);
  if (mAnswersToLose > 0) {
    --mAnswersToLose;
    return true;
  }
  return mLossProbability > 0 &&
         std::bernoulli_distribution(mLossProbability)(mRandom);
}

void
FaultPlan::Stop()
{
  {
    const std::lock_guard lock(mMutex);
    mStopped = true;
  }
  mChanged.notify_all();
}

} // namespace oriolevane::standins
