// Reads all records of a shard from the store, for a node that has just become
// its owner.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "cellnode/types/rows.h"
#include "eventloop/eventloop.h"
#include "jobs/types/jobrecord.h"

namespace oriolevane::cellnode {

class CellLoader
{
public:
  using Done = std::function<void(const jobs::CellRecords&)>;

  // Calls aDone once, when all records are read. Failed reads are repeated.
  CellLoader(eventloop::EventLoop& aLoop,
             const RowStoreHooks& aStore,
             std::string aPart,
             Done aDone);
  CellLoader(const CellLoader&) = delete;
  CellLoader& operator=(const CellLoader&) = delete;
  ~CellLoader();

private:
  using RowHandler = std::function<absl::Status(const Row&)>;

  // The read of one table.
  struct TableRead
  {
    RowHandler mHandler;
    // The first row name of the next page.
    std::string mFrom;
    // Repeats the call after a failure; one timer for all failures, as a store
    // outage has no bound.
    std::unique_ptr<eventloop::Timer> mRetryTimer;
  };

  void ReadNextPage(const std::string& aTable);
  void OnPage(const std::string& aTable, const absl::StatusOr<RowPage>& aPage);

  eventloop::EventLoop& mLoop;
  const RowStoreHooks& mStore;
  std::string mPart;
  Done mDone;
  jobs::CellRecords mRecords;
  int mUnfinishedTables = 0;
  std::map<std::string, TableRead> mTables;
  std::shared_ptr<bool> mAlive = std::make_shared<bool>(true);
};

} // namespace oriolevane::cellnode
