// Tells those who wait for the store that it answers other calls.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>

#include "cellnode/types/rows.h"
#include "framework/types/boottime.h"

namespace oriolevane::cellnode {

// Notes the answers of the store to all calls of a node. A call that was sent
// while the store was away may get no answer before its timeout, although the
// store is back.
class StoreActivity
{
public:
  // Called for each answer, with the time at which its call was sent.
  using Listener = std::function<void(BootTimePoint aSentAt)>;
  using ListenerId = std::uint64_t;

  ListenerId AddListener(Listener aListener);
  void RemoveListener(ListenerId aId) { mListeners.erase(aId); }
  // Notes that the store has answered a call, of this node or of another one,
  // that was sent at the given time.
  void NoteAnswer(BootTimePoint aSentAt);

private:
  std::map<ListenerId, Listener> mListeners;
  ListenerId mLastId = 0;
};

// Returns hooks that note the answers to all calls in the activity, which the
// hooks refer to from then on.
RowStoreHooks
WithActivity(RowStoreHooks aStore,
             const std::shared_ptr<StoreActivity>& aActivity);

} // namespace oriolevane::cellnode
