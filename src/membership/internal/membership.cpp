#include "membership/membership.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace oriolevane::membership {

namespace {

constexpr std::size_t kMostCommands = 4'096;

TimePoint
Now()
{
  return std::chrono::steady_clock::now();
}

} // namespace

Membership::Membership(MembershipOptions aOptions,
                       store::TableHooks aTable,
                       MembershipHooks aHooks)
  : mLoop(std::move(aOptions), std::move(aTable), std::move(aHooks), Now)
  , mCommands(kMostCommands)
{
}

Membership::~Membership()
{
  Stop();
}

void
Membership::Start()
{
  mThread = std::thread([this] { Run(); });
}

void
Membership::Stop()
{
  mCommands.Close();
  if (mThread.joinable()) {
    mThread.join();
  }
}

bool
Membership::Release(const RowRef& aRow)
{
  return mCommands.TryPush(
    [aRow](MembershipLoop& aLoop) { aLoop.Release(aRow); });
}

bool
Membership::Leave()
{
  return mCommands.TryPush([](MembershipLoop& aLoop) { aLoop.Leave(); });
}

bool
Membership::SetDrained(std::set<NodeId> aNodes)
{
  return mCommands.TryPush([nodes = std::move(aNodes)](MembershipLoop& aLoop) {
    aLoop.SetDrained(nodes);
  });
}

bool
Membership::ReadSoon()
{
  return mCommands.TryPush([](MembershipLoop& aLoop) { aLoop.ReadSoon(); });
}

void
Membership::Run()
{
  while (!mCommands.IsClosed()) {
    const TimePoint next = mLoop.Step();
    const Duration wait = std::max(next - Now(), Duration::zero());
    for (const Command& command : mCommands.PopMany(kMostCommands, wait)) {
      command(mLoop);
    }
  }
  mLoop.SignOff();
}

} // namespace oriolevane::membership
