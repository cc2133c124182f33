// Follows a table of the store: reads it whole, then its changes; reads it
// again when the history of changes is gone.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "cellnode/types/rows.h"
#include "eventloop/eventloop.h"

namespace oriolevane::cellnode {

struct TableWatchOptions
{
  std::string mTable;
  // Only rows of this part.
  std::string mPart;
  // How long a feed call may wait for a change.
  std::chrono::milliseconds mWait{ 2000 };
  // Pause between calls, to gather changes.
  std::chrono::milliseconds mPause{ 0 };
};

struct TableWatchHooks
{
  // A row has been added or changed, or is as it was at a whole reading.
  std::function<void(const Row&)> mOnRow;
  std::function<void(const std::string& aName)> mOnRemoved;
  // The table has been read whole.
  std::function<void()> mOnCurrent;
};

class TableWatch
{
public:
  TableWatch(eventloop::EventLoop& aLoop,
             const RowStoreHooks& aStore,
             TableWatchOptions aOptions,
             TableWatchHooks aHooks);
  TableWatch(const TableWatch&) = delete;
  TableWatch& operator=(const TableWatch&) = delete;
  ~TableWatch();

  void Start();
  bool IsCurrent() const { return mCurrent; }

private:
  void ReadFrom(const std::string& aName);
  void OnPage(const RowPage& aPage);
  void Follow();
  void OnChanges(const absl::StatusOr<RowPage>& aPage);
  void RetryLater();

  const RowStoreHooks& mStore;
  TableWatchOptions mOptions;
  TableWatchHooks mHooks;
  std::unique_ptr<eventloop::Timer> mTimer;
  bool mCurrent = false;
  RowVersion mVersion;
  // Of the reading that is under way.
  RowVersion mReadVersion;
  std::map<std::string, RowVersion> mSeen;
  std::map<std::string, RowVersion> mKnown;
  std::shared_ptr<bool> mAlive = std::make_shared<bool>(true);
};

} // namespace oriolevane::cellnode
