#include "cellnode/internal/tablewatch.h"

#include <string>
#include <vector>

#include "cellnode/tests/testgroups.h"

namespace oriolevane {

using testing::Section;
using namespace cellnode;
using namespace std::chrono_literals;

namespace {

// A table of three rows in pages of one row. The page of row "b" has no answer
// mLostAnswers times.
struct Fixture
{
  struct ReadCall
  {
    std::string mFrom;
    Duration mTimeout;
  };

  eventloop::EventLoop mLoop;
  int mLostAnswers = 0;
  struct FeedCall
  {
    Duration mWait;
    Duration mTimeout;
  };
  std::vector<ReadCall> mReads;
  std::vector<FeedCall> mFeeds;
  // Feed calls that have no answer before one is answered.
  int mLostFeeds = 0;
  std::vector<std::string> mReported;
  // When each call was received, and up to when all changes were reported.
  std::vector<BootTimePoint> mCalledAt;
  std::vector<BootTimePoint> mUpToDate;
  // The feed call that is answered is cut short.
  bool mFeedHasMore = false;
  RowVersion mFeedVersion{ 8 };
  RowStoreHooks mStore;

  Fixture()
  {
    mStore.mRead =
      [this](const RowQuery& aQuery, Duration aTimeout, const auto& aDone) {
        mReads.push_back({ aQuery.mFrom, aTimeout });
        mCalledAt.push_back(BootClock::Now());
        aDone(PageFrom(aQuery.mFrom));
      };
    mStore.mFeed =
      [this](const FeedQuery& aQuery, Duration aTimeout, const auto& aDone) {
        mFeeds.push_back({ aQuery.mWait, aTimeout });
        mCalledAt.push_back(BootClock::Now());
        AnswerFeed(aDone);
      };
  }
  absl::StatusOr<RowPage> PageFrom(const std::string& aFrom)
  {
    const std::string name = aFrom.empty() ? "a" : aFrom[0] == 'a' ? "b" : "c";
    if (name == "b" && mLostAnswers-- > 0) {
      return absl::DeadlineExceededError("no response in time");
    }
    RowPage page;
    page.mVersion = RowVersion(7);
    page.mHasMore = name != "c";
    page.mRows.emplace_back();
    page.mRows[0].mKey.mName = name;
    page.mRows[0].mVersion = RowVersion(7);
    return page;
  }
  void AnswerFeed(
    const std::function<void(const absl::StatusOr<RowPage>&)>& aDone)
  {
    if (mLostFeeds-- > 0) {
      aDone(absl::DeadlineExceededError("no response in time"));
    } else if (mLostFeeds == -1) {
      aDone(RowPage{ .mHasMore = mFeedHasMore, .mVersion = mFeedVersion });
    } else {
      mLoop.Stop();
    }
  }
  // Reads the table in full, and follows its feed until a call after the first
  // one that is answered.
  void Follow(std::chrono::milliseconds aPause = 0ms)
  {
    TableWatch watch(
      mLoop,
      mStore,
      { .mTable = "workers", .mPart = "", .mPauseBetweenCalls = aPause },
      { .mOnRow = [](const Row&) {},
        .mOnRemoved = [](const std::string&) {},
        .mOnSynchronized = {},
        .mOnUpToDate =
          [this](BootTimePoint aTime) { mUpToDate.push_back(aTime); } });
    mLoop.Post([&watch] { watch.Start(); });
    mLoop.Run();
  }
  // Reads the table in full.
  void Read()
  {
    TableWatch watch(
      mLoop,
      mStore,
      { .mTable = "workers", .mPart = "" },
      { .mOnRow =
          [this](const Row& aRow) { mReported.push_back(aRow.mKey.mName); },
        .mOnRemoved = [](const std::string&) {},
        .mOnSynchronized = [this] { mLoop.Stop(); } });
    mLoop.Post([&watch] { watch.Start(); });
    mLoop.Run();
  }
};

void
DescribeProofs(Section& aRoot)
{
  aRoot.Describe("what is known to be up to date", [](Section& aSection) {
    // A later time would be a proof for changes that the answer does not show.
    aSection.It("counts from the first page of a full read", [] {
      Fixture fixture;
      fixture.mLostAnswers = 1;
      fixture.Follow();
      CPPUNIT_ASSERT_EQUAL(std::size_t{ 4 }, fixture.mReads.size());
      CPPUNIT_ASSERT(fixture.mUpToDate.at(0) <= fixture.mCalledAt[0]);
    });
    aSection.It("counts from the feed call that was answered", [] {
      Fixture fixture;
      fixture.mLostFeeds = 1;
      fixture.Follow();
      CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, fixture.mUpToDate.size());
      // Three reads, then a feed call that is lost and one that is answered.
      CPPUNIT_ASSERT(fixture.mUpToDate[1] > fixture.mCalledAt[3]);
      CPPUNIT_ASSERT(fixture.mUpToDate[1] <= fixture.mCalledAt[4]);
    });
    aSection.It("is not shown by changes that were cut short", [] {
      Fixture fixture;
      fixture.mFeedHasMore = true;
      fixture.Follow();
      CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, fixture.mUpToDate.size());
    });
  });
}

} // namespace

void
TableWatchTests(Section& aRoot)
{
  DescribeProofs(aRoot);
  aRoot.Describe("changes that were cut short", [](Section& aSection) {
    // Guards against a feed that falls behind a table that changes fast.
    aSection.It("are followed by the next ones without a pause", [] {
      constexpr std::chrono::milliseconds kPause = 2s;
      Fixture fixture;
      fixture.mFeedHasMore = true;
      fixture.Follow(kPause);
      const auto& calls = fixture.mCalledAt;
      // The pause before the first feed call is the only one.
      CPPUNIT_ASSERT(calls.back() - calls[calls.size() - 2] < kPause);
    });
  });
  aRoot.Describe("a feed call without an answer", [](Section& aSection) {
    aSection.It("is followed by one that does not wait for changes", [] {
      Fixture fixture;
      fixture.mLostFeeds = 1;
      fixture.Follow();
      const auto& feeds = fixture.mFeeds;
      CPPUNIT_ASSERT_EQUAL(std::size_t{ 3 }, feeds.size());
      CPPUNIT_ASSERT(feeds[0].mWait > 0ms);
      CPPUNIT_ASSERT(feeds[1].mWait == 0ms);
      CPPUNIT_ASSERT(feeds[2].mWait == feeds[0].mWait);
    });
    aSection.It("leaves the next one more time to answer", [] {
      Fixture fixture;
      fixture.mLostFeeds = 2;
      fixture.Follow();
      const auto& feeds = fixture.mFeeds;
      CPPUNIT_ASSERT_EQUAL(std::size_t{ 4 }, feeds.size());
      const Duration first = feeds[0].mTimeout - feeds[0].mWait;
      CPPUNIT_ASSERT(feeds[1].mTimeout == 2 * first);
      CPPUNIT_ASSERT(feeds[2].mTimeout == 4 * first);
      CPPUNIT_ASSERT(feeds[3].mTimeout == feeds[0].mTimeout);
    });
  });
  aRoot.Describe("a full read of several pages", [](Section& aSection) {
    aSection.It("goes on with the page whose answer was lost", [] {
      Fixture fixture;
      fixture.mLostAnswers = 1;
      fixture.Read();
      CPPUNIT_ASSERT_EQUAL(std::size_t{ 4 }, fixture.mReads.size());
      CPPUNIT_ASSERT_EQUAL(fixture.mReads[1].mFrom, fixture.mReads[2].mFrom);
      CPPUNIT_ASSERT(
        (fixture.mReported == std::vector<std::string>{ "a", "b", "c" }));
    });
    aSection.It("waits longer for a page that did not arrive in time", [] {
      Fixture fixture;
      fixture.mLostAnswers = 2;
      fixture.Read();
      const std::vector<Fixture::ReadCall>& reads = fixture.mReads;
      CPPUNIT_ASSERT(reads[2].mTimeout == 2 * reads[1].mTimeout);
      CPPUNIT_ASSERT(reads[3].mTimeout == 4 * reads[1].mTimeout);
      CPPUNIT_ASSERT(reads[4].mTimeout == reads[0].mTimeout);
    });
  });
}

} // namespace oriolevane
