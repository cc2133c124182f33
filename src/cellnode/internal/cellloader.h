// Reads all that is kept of a shard, for a node that has just come to own it.
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

  // Calls aDone once, when all has been read; reads that fail are repeated.
  CellLoader(eventloop::EventLoop& aLoop,
             const RowStoreHooks& aStore,
             std::string aPart,
             Done aDone);
  CellLoader(const CellLoader&) = delete;
  CellLoader& operator=(const CellLoader&) = delete;
  ~CellLoader();

private:
  using TakeRow = std::function<absl::Status(const Row&)>;

  void ReadTable(const std::string& aTable,
                 const std::string& aFrom,
                 const TakeRow& aTake);
  void OnPage(const std::string& aTable,
              const std::string& aFrom,
              const TakeRow& aTake,
              const absl::StatusOr<RowPage>& aPage);

  eventloop::EventLoop& mLoop;
  const RowStoreHooks& mStore;
  std::string mPart;
  Done mDone;
  jobs::CellRecords mRecords;
  int mTablesLeft = 0;
  std::vector<std::unique_ptr<eventloop::Timer>> mRetries;
  std::shared_ptr<bool> mAlive = std::make_shared<bool>(true);
};

} // namespace oriolevane::cellnode
