// Tracks a table of the store: reads it in full, then follows its change feed.
// It reads the table in full again when the store no longer has the feed's
// history.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "cellnode/internal/storeactivity.h"
#include "cellnode/types/rows.h"
#include "eventloop/eventloop.h"
#include "framework/types/boottime.h"

namespace oriolevane::cellnode {

struct TableWatchOptions
{
  std::string mTable;
  // Only rows of this part are reported.
  std::string mPart;
  // How long the store may hold a feed call until there is a change.
  std::chrono::milliseconds mWait{ 2000 };
  // The pause between feed calls, which collects changes.
  std::chrono::milliseconds mPauseBetweenCalls{ 0 };
  // The time for the answer of a call, in addition to its wait. It doubles with
  // each failure, up to a maximum.
  std::chrono::milliseconds mAnswerTimeout{ 800 };
};

struct TableWatchHooks
{
  // Called for each row that is new or changed, in the feed or in a full read.
  std::function<void(const Row&)> mOnRow;
  std::function<void(const std::string& aName)> mOnRemoved;
  // Called when a full read is complete.
  std::function<void()> mOnSynchronized;
  // Called when all changes up to aTime have been reported: the time at which
  // the call was sent whose answer proves it.
  std::function<void(BootTimePoint aTime)> mOnUpToDate;
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

  // Starts a full read of the table, after which changes are reported.
  void Start();

private:
  void ReadFrom(const std::string& aName);
  void OnPage(const RowPage& aPage);
  void RemoveRowsNotSeenInRead();
  void ReadFeed();
  void OnChanges(const absl::StatusOr<RowPage>& aPage, BootTimePoint aSentAt);
  void ReportUpToDate(BootTimePoint aTime);
  // Repeats the call that failed after a pause, with twice the time for its
  // answer.
  void RetryWithLongerTimeout();
  // Sends the call that is due next.
  void SendNext();
  // Notes that a call is sent, and returns its number.
  std::uint64_t BeginCall();
  // Notes the answer to a call, or its failure. Returns false for a call that
  // has been overtaken by another one.
  bool EndCall(std::uint64_t aCall);
  // Repeats a call that was sent while the store was away, once the store has
  // answered a later call of anybody.
  void OnStoreAnswered(BootTimePoint aSentAt);

  const RowStoreHooks& mStore;
  TableWatchOptions mOptions;
  TableWatchHooks mHooks;
  std::unique_ptr<eventloop::Timer> mTimer;
  bool mSynchronized = false;
  RowVersion mVersion;
  // The first row of the page that the current full read waits for.
  std::string mNextName;
  // The time for the answer of the next call, in addition to its wait.
  std::chrono::milliseconds mReadTimeout{ 0 };
  // The store version at the start of the current full read.
  RowVersion mReadVersion;
  // When the call for the first page of the current full read was sent.
  BootTimePoint mReadSentAt;
  std::map<std::string, RowVersion> mSeenInRead;
  std::map<std::string, RowVersion> mKnownVersions;
  // The number of the newest call, and when it was sent.
  std::uint64_t mCall = 0;
  BootTimePoint mCallSentAt;
  bool mCallPending = false;
  // A call has failed since the last answer, and none has been overtaken since
  // then. A call that is slow for another reason gets all its time.
  bool mMayOvertake = false;
  StoreActivity::ListenerId mListener = 0;
  std::shared_ptr<bool> mAlive = std::make_shared<bool>(true);
};

} // namespace oriolevane::cellnode
