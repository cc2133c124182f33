#include "cellnode/internal/tablewatch.h"

#include <algorithm>
#include <utility>

#include "framework/log.h"

namespace oriolevane::cellnode {

namespace {

using namespace std::chrono_literals;

// A busy node needs several passes of its event loop for one page. The timeout
// of a page therefore doubles with each failure, up to this time.
constexpr std::chrono::milliseconds kMaxReadTimeout = 3200ms;
constexpr std::chrono::milliseconds kRetryPause = 200ms;

} // namespace

TableWatch::TableWatch(eventloop::EventLoop& aLoop,
                       const RowStoreHooks& aStore,
                       TableWatchOptions aOptions,
                       TableWatchHooks aHooks)
  : mStore(aStore)
  , mOptions(std::move(aOptions))
  , mHooks(std::move(aHooks))
{
  mTimer = aLoop.MakeTimer([this] { SendNext(); });
  if (mStore.mActivity != nullptr) {
    mListener = mStore.mActivity->AddListener(
      [this](BootTimePoint aSentAt) { OnStoreAnswered(aSentAt); });
  }
}

TableWatch::~TableWatch()
{
  *mAlive = false;
  if (mStore.mActivity != nullptr) {
    mStore.mActivity->RemoveListener(mListener);
  }
}

void
TableWatch::SendNext()
{
  if (mSynchronized) {
    ReadFeed();
  } else {
    ReadFrom(mNextName);
  }
}

std::uint64_t
TableWatch::BeginCall()
{
  mCallSentAt = BootClock::Now();
  mCallPending = true;
  return ++mCall;
}

bool
TableWatch::EndCall(std::uint64_t aCall)
{
  if (aCall != mCall) {
    return false;
  }
  mCallPending = false;
  return true;
}

void
TableWatch::OnStoreAnswered(BootTimePoint aSentAt)
{
  const bool late =
    BootClock::Now() - mCallSentAt >= BootDuration(mOptions.mAnswerTimeout);
  if (!mCallPending || !mMayOvertake || !late || aSentAt <= mCallSentAt) {
    return;
  }
  LogInfo("table_call_overtaken").With("table", mOptions.mTable);
  mMayOvertake = false;
  SendNext();
}

void
TableWatch::Start()
{
  mSynchronized = false;
  mSeenInRead.clear();
  mReadVersion = {};
  mReadTimeout = mOptions.mAnswerTimeout;
  ReadFrom("");
}

void
TableWatch::RetryWithLongerTimeout()
{
  mReadTimeout =
    std::min<std::chrono::milliseconds>(2 * mReadTimeout, kMaxReadTimeout);
  mMayOvertake = true;
  mTimer->StartAfter(kRetryPause);
}

void
TableWatch::ReadFrom(const std::string& aName)
{
  mNextName = aName;
  mStore.mRead(
    { .mTable = mOptions.mTable, .mPart = mOptions.mPart, .mFrom = aName },
    mReadTimeout,
    [this, alive = mAlive, call = BeginCall(), sentAt = BootClock::Now()](
      const absl::StatusOr<RowPage>& aPage) {
      if (!*alive || !EndCall(call)) {
        return;
      }
      if (!aPage.ok()) {
        LogWarning("table_read_failed")
          .With("table", mOptions.mTable)
          .With("from", mNextName)
          .With("status", aPage.status().ToString());
        RetryWithLongerTimeout();
        return;
      }
      if (mNextName.empty()) {
        mReadSentAt = sentAt;
      }
      OnPage(*aPage);
    });
}

void
TableWatch::OnPage(const RowPage& aPage)
{
  if (mReadVersion == RowVersion()) {
    // Takes the version of the first page, so that the feed repeats changes
    // made while later pages are read.
    mReadVersion = aPage.mVersion;
  }
  for (const Row& row : aPage.mRows) {
    mSeenInRead[row.mKey.mName] = row.mVersion;
    RowVersion& known = mKnownVersions[row.mKey.mName];
    if (known < row.mVersion) {
      known = row.mVersion;
      mHooks.mOnRow(row);
    }
  }
  mReadTimeout = mOptions.mAnswerTimeout;
  mMayOvertake = false;
  if (aPage.mHasMore && !aPage.mRows.empty()) {
    ReadFrom(aPage.mRows.back().mKey.mName + '\x01');
    return;
  }
  RemoveRowsNotSeenInRead();
  mVersion = mReadVersion;
  mSynchronized = true;
  if (mHooks.mOnSynchronized) {
    mHooks.mOnSynchronized();
  }
  ReportUpToDate(mReadSentAt);
  mTimer->StartAfter(mOptions.mPauseBetweenCalls);
}

void
TableWatch::RemoveRowsNotSeenInRead()
{
  for (auto entry = mKnownVersions.begin(); entry != mKnownVersions.end();) {
    if (mSeenInRead.contains(entry->first)) {
      ++entry;
      continue;
    }
    const std::string name = entry->first;
    entry = mKnownVersions.erase(entry);
    mHooks.mOnRemoved(name);
  }
}

void
TableWatch::ReportUpToDate(BootTimePoint aTime)
{
  if (mHooks.mOnUpToDate) {
    mHooks.mOnUpToDate(aTime);
  }
}

void
TableWatch::ReadFeed()
{
  // Changes may have been missed by a call that failed, so the next one does
  // not wait for further ones.
  const std::chrono::milliseconds wait =
    mReadTimeout == mOptions.mAnswerTimeout ? mOptions.mWait : 0ms;
  mStore.mFeed(
    { .mTable = mOptions.mTable, .mAfter = mVersion, .mWait = wait },
    wait + mReadTimeout,
    [this, alive = mAlive, call = BeginCall(), sentAt = BootClock::Now()](
      const absl::StatusOr<RowPage>& aPage) {
      if (*alive && EndCall(call)) {
        OnChanges(aPage, sentAt);
      }
    });
}

void
TableWatch::OnChanges(const absl::StatusOr<RowPage>& aPage,
                      BootTimePoint aSentAt)
{
  if (!aPage.ok()) {
    LogInfo("table_feed_failed")
      .With("table", mOptions.mTable)
      .With("after", mVersion)
      .With("status", aPage.status().ToString());
    if (absl::IsOutOfRange(aPage.status())) {
      Start();
    } else {
      RetryWithLongerTimeout();
    }
    return;
  }
  mReadTimeout = mOptions.mAnswerTimeout;
  mMayOvertake = false;
  // A page that was cut short does not show what comes after it, and one of an
  // older version does not show the newest changes.
  const bool complete = !aPage->mHasMore && (aPage->mVersion == RowVersion() ||
                                             aPage->mVersion >= mVersion);
  const bool advanced = aPage->mVersion > mVersion;
  mVersion = std::max(mVersion, aPage->mVersion);
  for (const Row& row : aPage->mRows) {
    if (row.mKey.mPart != mOptions.mPart) {
      continue;
    }
    if (row.mRemoved) {
      if (mKnownVersions.erase(row.mKey.mName) > 0) {
        mHooks.mOnRemoved(row.mKey.mName);
      }
      continue;
    }
    mKnownVersions[row.mKey.mName] = row.mVersion;
    mHooks.mOnRow(row);
  }
  if (complete) {
    ReportUpToDate(aSentAt);
  }
  // The pause collects changes. After a page that was cut short, more are there
  // already, unless the store has answered with the same page again.
  mTimer->StartAfter(aPage->mHasMore && advanced ? 0ms
                                                 : mOptions.mPauseBetweenCalls);
}

} // namespace oriolevane::cellnode
