// The membership duty of a node on a thread of its own.
#pragma once

#include <functional>
#include <set>
#include <thread>

#include "framework/boundedqueue.h"
#include "framework/types/ids.h"
#include "membership/membershiploop.h"
#include "membership/membershipoptions.h"
#include "store/platformhooks.h"

namespace oriolevane::membership {

// Its methods may be called from any thread, hooks included. Each returns false
// when too much is queued or the duty has stopped.
class Membership
{
public:
  Membership(MembershipOptions aOptions,
             store::TableHooks aTable,
             MembershipHooks aHooks);
  Membership(const Membership&) = delete;
  Membership& operator=(const Membership&) = delete;
  // Stops.
  ~Membership();

  void Start();
  // Ends the thread; the node's row is removed when nothing is owned.
  void Stop();

  // Gives a row up that is no longer served; retried until it is surely done.
  bool Release(const RowRef& aRow);
  // Starts a planned stop: mOnHandOver for each owned row, then mOnLeft.
  bool Leave();
  bool SetDrained(std::set<NodeId> aNodes);
  bool ReadSoon();

private:
  using Command = std::function<void(MembershipLoop&)>;

  void Run();

  MembershipLoop mLoop;
  BoundedQueue<Command> mCommands;
  std::thread mThread;
};

} // namespace oriolevane::membership
