// Settings and hooks of the membership duty.
#pragma once

#include <chrono>
#include <cstddef>
#include <functional>
#include <string>
#include <vector>

#include "framework/types/ids.h"
#include "membership/ownershipplanner.h"

namespace oriolevane::membership {

// Store use of one node: one row written every mRenewInterval, and every read
// interval three scans that together return one row for each node, partition
// and shard.
struct MembershipOptions
{
  // Holds the node's id and incarnation, among others.
  PlannerOptions mPlanner;
  // IP and port for peers.
  std::string mAddress;
  ZoneId mZone;
  std::chrono::milliseconds mRenewInterval{ 2'000 };
  // The shortest time between two reads of the membership rows.
  std::chrono::milliseconds mReadInterval{ 2'000 };
  // Rows a second that all nodes together read; reads become rarer as nodes
  // and rows become more.
  double mRowReadBudget = 1'000;
  // Wait after a read that failed or that another node asked for.
  std::chrono::milliseconds mRetryInterval{ 500 };
};

// Called on the membership thread; they must not block for long. Unset hooks
// are skipped.
struct MembershipHooks
{
  std::function<void(const AcquiredRow&)> mOnAcquired;
  // Another node owns the row now, or may. Whatever was under way under the
  // old epoch is fenced.
  std::function<void(const DeposedRow&)> mOnDeposed;
  // Stop serving the row, flush, then call Release.
  std::function<void(const RowRef&)> mOnHandOver;
  // Whenever the list changes; in order of node ids, the own node included.
  std::function<void(const std::vector<Member>&)> mOnMembers;
  // The rows were read after a renewal that succeeded: what was not deposed is
  // surely still owned for a while.
  std::function<void()> mOnConfirmed;
  // After Leave: nothing is owned any more.
  std::function<void()> mOnLeft;
  // Another process runs under this node's id; this one must stop.
  std::function<void()> mOnSuperseded;
};

} // namespace oriolevane::membership
