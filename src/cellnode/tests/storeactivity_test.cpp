#include "cellnode/internal/storeactivity.h"

#include <memory>
#include <vector>

#include "cellnode/internal/tablewatch.h"
#include "cellnode/tests/testgroups.h"

namespace oriolevane {

using testing::Section;
using namespace cellnode;
using namespace std::chrono_literals;

namespace {

using FeedDone = std::function<void(const absl::StatusOr<RowPage>&)>;

// A watch whose first feed call fails, and whose second one hangs, as it was
// sent while the store was away.
class HangingWatch
{
public:
  HangingWatch()
    : mStore(WithActivity(MakeStore(), mActivity))
    , mWatch(std::make_unique<TableWatch>(
        mLoop,
        mStore,
        TableWatchOptions{ .mTable = "op", .mAnswerTimeout = 20ms },
        TableWatchHooks{ .mOnRow = [this](const Row&) { ++mChanges; },
                         .mOnRemoved = [](const std::string&) {},
                         .mOnSynchronized = {},
                         .mOnUpToDate = {} }))
  {
    mLoop.Post([this] { mWatch->Start(); });
    // The pause before a call is repeated is 200 ms.
    RunFor(300ms);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, mFeeds.size());
  }

  void RunFor(Duration aTime)
  {
    const auto timer = mLoop.MakeTimer([this] { mLoop.Stop(); });
    timer->StartAfter(aTime);
    mLoop.Run();
  }
  void AnswerFeed(std::size_t aCall)
  {
    RowPage page{ .mVersion = RowVersion(9) };
    page.mRows.push_back({ .mKey = { "op", "", "config" },
                           .mValue = "",
                           .mVersion = RowVersion(9) });
    mFeeds.at(aCall)(page);
  }

  // The feed calls so far.
  std::vector<FeedDone> mFeeds;
  int mChanges = 0;
  std::shared_ptr<StoreActivity> mActivity = std::make_shared<StoreActivity>();
  RowStoreHooks mStore;

private:
  RowStoreHooks MakeStore()
  {
    return { .mCommit =
               [](const RowTransaction&, Duration, const auto& aDone) {
                 aDone(CommitAnswer{ .mApplied = true });
               },
             .mRead = [](const RowQuery&,
                         Duration,
                         const auto& aDone) { aDone(RowPage{}); },
             .mFeed =
               [this](const FeedQuery&, Duration, const FeedDone& aDone) {
                 mFeeds.push_back(aDone);
                 if (mFeeds.size() == 1) {
                   mLoop.Post([aDone] {
                     aDone(absl::DeadlineExceededError("no response in time"));
                   });
                 }
               } };
  }

  eventloop::EventLoop mLoop;
  std::unique_ptr<TableWatch> mWatch;
};

} // namespace

// Guards against a node that goes on with an old configuration for seconds
// after the store is back, as its feed call was sent while the store was away.
void
StoreActivityTests(Section& aRoot)
{
  aRoot.Describe("a feed call that hangs", [](Section& aSection) {
    aSection.It("is sent again once the store answers a later call", [] {
      HangingWatch watch;
      watch.mStore.mCommit({}, 1s, [](const auto&) {});
      CPPUNIT_ASSERT_EQUAL(std::size_t{ 3 }, watch.mFeeds.size());
      watch.AnswerFeed(1);
      CPPUNIT_ASSERT_EQUAL(0, watch.mChanges);
      watch.AnswerFeed(2);
      CPPUNIT_ASSERT_EQUAL(1, watch.mChanges);
    });
    aSection.It("is sent again once the store has answered the owner", [] {
      HangingWatch watch;
      watch.mActivity->NoteAnswer(BootClock::Now() - 10ms);
      CPPUNIT_ASSERT_EQUAL(std::size_t{ 3 }, watch.mFeeds.size());
    });
    aSection.It("goes on when an earlier call is answered", [] {
      HangingWatch watch;
      watch.mActivity->NoteAnswer(BootClock::Now() - 10s);
      CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, watch.mFeeds.size());
    });
    // A page that a busy node reads slowly must arrive in the end.
    aSection.It("gets all its time when it is not the first one", [] {
      HangingWatch watch;
      watch.mActivity->NoteAnswer(BootClock::Now());
      watch.RunFor(50ms);
      watch.mActivity->NoteAnswer(BootClock::Now());
      CPPUNIT_ASSERT_EQUAL(std::size_t{ 3 }, watch.mFeeds.size());
    });
  });
}

} // namespace oriolevane
