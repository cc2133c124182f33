// Several membership loops over one scripted store in virtual time.
#pragma once

#include <chrono>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "membership/membershiploop.h"
#include "standins/platform/scriptedplatform.h"

namespace oriolevane::membership {

// One node: its loop and what its hooks were told. A row under hand-over is
// released at once.
struct TestNode
{
  std::unique_ptr<MembershipLoop> mLoop;
  std::map<RowRef, Epoch> mOwned;
  std::vector<DeposedRow> mDeposed;
  std::vector<Member> mMembers;
  std::vector<RowRef> mHandOvers;
  bool mLeft = false;
  bool mSuperseded = false;
  // A paused node does not step.
  bool mPaused = false;
  TimePoint mNext{};
};

class TestCluster
{
public:
  // Another incarnation of a name replaces the node of that name here.
  TestNode& Add(const std::string& aName, std::uint64_t aIncarnation = 1);
  // Steps all nodes that run, in order of their names, through virtual time.
  void Run(std::chrono::milliseconds aFor);
  TestNode& At(const std::string& aName) { return *mNodes.at(aName); }
  // How many of the rows are owned by exactly one of the running nodes, by
  // what their hooks were told.
  std::size_t RowsWithOneOwner() const;
  std::uint64_t VersionOf(const std::string& aKey);

  standins::ScriptedPlatform mPlatform;
  // Settings of nodes that are added from now on.
  MembershipOptions mOptions{ .mAddress = "127.0.0.1:1" };
  TimePoint mNow{ std::chrono::hours(1) };

  static constexpr std::uint32_t kPartitions = 16;
  static constexpr std::uint32_t kShards = 8;

private:
  MembershipHooks HooksOf(TestNode& aNode);

  std::map<std::string, std::unique_ptr<TestNode>> mNodes;
};

} // namespace oriolevane::membership
