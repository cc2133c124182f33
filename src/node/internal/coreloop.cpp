#include "node/internal/coreloop.h"

#include <algorithm>
#include <utility>

namespace oriolevane::node {

namespace {

constexpr std::size_t kEventsPerTurn = 256;

} // namespace

CoreLoop::CoreLoop(NodeCoreOptions aCore,
                   CoreLoopOptions aOptions,
                   std::function<void(NodeAction&)> aPerform)
  : mOptions(aOptions)
  , mCore(std::move(aCore))
  , mPerform(std::move(aPerform))
  , mRing(aOptions.mRingCapacity)
{
}

CoreLoop::~CoreLoop()
{
  Stop();
}

void
CoreLoop::Start()
{
  mThread = std::thread([this] { Run(); });
}

void
CoreLoop::Stop()
{
  mRing.Close();
  if (mThread.joinable()) {
    mThread.join();
  }
}

bool
CoreLoop::TryPost(NodeEvent aEvent)
{
  return mRing.TryPush(std::move(aEvent));
}

bool
CoreLoop::Post(NodeEvent aEvent)
{
  return mRing.Push(std::move(aEvent));
}

NodeCoreSummary
CoreLoop::Summary() const
{
  const std::lock_guard lock(mSummaryMutex);
  return mSummary;
}

void
CoreLoop::Handle(NodeEvent aEvent)
{
  std::vector<NodeAction> actions =
    mCore.Handle(std::move(aEvent), std::chrono::steady_clock::now());
  for (NodeAction& action : actions) {
    mPerform(action);
  }
}

void
CoreLoop::Run()
{
  TimePoint nextTick = std::chrono::steady_clock::now();
  TimePoint nextSummary = nextTick;
  while (!mRing.IsClosed()) {
    const TimePoint before = std::chrono::steady_clock::now();
    for (NodeEvent& event : mRing.PopMany(
           kEventsPerTurn, std::max(nextTick - before, Duration::zero()))) {
      Handle(std::move(event));
    }
    const TimePoint now = std::chrono::steady_clock::now();
    if (now >= nextTick) {
      Handle(Tick{});
      nextTick = now + mOptions.mTickEvery;
    }
    if (now >= nextSummary) {
      NodeCoreSummary summary = mCore.Summary();
      nextSummary = now + mOptions.mSummaryEvery;
      const std::lock_guard lock(mSummaryMutex);
      mSummary = std::move(summary);
    }
  }
}

} // namespace oriolevane::node
