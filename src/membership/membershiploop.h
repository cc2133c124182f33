// The membership duty without its thread: renews the node's row, reads the
// membership rows, carries out the planner's decisions.
#pragma once

#include <cstdint>
#include <functional>
#include <set>
#include <vector>

#include "framework/types/ids.h"
#include "framework/types/timepoint.h"
#include "membership/membershipoptions.h"
#include "membership/ownershipplanner.h"
#include "store/platformhooks.h"

namespace oriolevane::membership {

// Not thread-safe. aClock gives the time around calls to the store.
class MembershipLoop
{
public:
  MembershipLoop(MembershipOptions aOptions,
                 store::TableHooks aTable,
                 MembershipHooks aHooks,
                 std::function<TimePoint()> aClock);

  // Does what is due and returns when to call again.
  TimePoint Step();

  void Release(const RowRef& aRow);
  // Announces that the node leaves; after one read interval, by when the next
  // owners read often, it hands everything over.
  void Leave();
  void SetDrained(std::set<NodeId> aNodes);
  // Reads the rows earlier than planned, e.g. when a peer has become suspect.
  void ReadSoon();
  // Removes the node's row when nothing is owned; for the end of a planned
  // stop. Without it the lease expires.
  void SignOff();

private:
  void RenewWhenDue();
  void Renew();
  void RenewAfterRefusal();
  void Round();
  void Carry(const Plan& aPlan);
  void Tell(const Plan& aPlan);
  void CommitAll(const std::vector<store::Transaction>& aTransactions);
  Duration ReadInterval() const;
  Duration EagerInterval() const;

  MembershipOptions mOptions;
  store::TableHooks mTable;
  MembershipHooks mHooks;
  std::function<TimePoint()> mClock;
  OwnershipPlanner mPlanner;

  NodeRow mSelf;
  std::uint64_t mSelfVersion = 0;
  bool mSelfVersionKnown = false;
  bool mRegistered = false;
  bool mSuperseded = false;
  bool mRenewalFails = false;
  bool mLeaving = false;
  bool mLeftTold = false;

  TimePoint mNextRenewal{};
  TimePoint mNextRead{};
  TimePoint mLastRead{};
  std::vector<Member> mMembers;
  std::size_t mRowsInView = 0;
};

} // namespace oriolevane::membership
