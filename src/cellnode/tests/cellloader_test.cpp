#include "cellnode/internal/cellloader.h"

#include <map>
#include <string>

#include "cellnode/recordcodec.h"
#include "cellnode/tests/testgroups.h"

namespace oriolevane {

using testing::Section;
using namespace cellnode;

namespace {

constexpr int kWorkerCount = 3;

// A store with three workers in pages of one row, and no other rows. Each page
// has no answer mFailures times.
struct Fixture
{
  eventloop::EventLoop mLoop;
  int mFailures = 0;
  // Calls by table and first row name.
  std::map<std::string, int> mCalls;
  RowStoreHooks mStore;

  Fixture()
  {
    mStore.mRead = [this](const RowQuery& aQuery, Duration, const auto& aDone) {
      if (++mCalls[aQuery.mTable + "/" + aQuery.mFrom] <= mFailures) {
        aDone(absl::UnavailableError("the store refuses"));
      } else {
        aDone(aQuery.mTable == "workers" ? WorkersFrom(aQuery.mFrom)
                                         : RowPage{});
      }
    };
  }
  static RowPage WorkersFrom(const std::string& aFrom)
  {
    RowPage page;
    for (int index = 0; index < kWorkerCount; ++index) {
      const std::string name = "w-" + std::to_string(index);
      if (name < aFrom) {
        continue;
      }
      jobs::WorkerRecord record;
      record.mId = WorkerId(name);
      page.mRows.push_back(
        { .mKey = { "workers", "s0", name }, .mValue = Encode(record) });
      page.mHasMore = index + 1 < kWorkerCount;
      break;
    }
    return page;
  }
  std::vector<jobs::WorkerRecord> Load()
  {
    std::vector<jobs::WorkerRecord> workers;
    std::unique_ptr<CellLoader> loader;
    mLoop.Post([&] {
      loader = std::make_unique<CellLoader>(
        mLoop, mStore, "s0", [&](const jobs::CellRecords& aRecords) {
          workers = aRecords.mWorkers;
          mLoop.Stop();
        });
    });
    mLoop.Run();
    return workers;
  }
};

} // namespace

void
CellLoaderTests(Section& aRoot)
{
  aRoot.Describe("a new owner reads the shard", [](Section& aSection) {
    aSection.It("page by page", [] {
      Fixture store;
      CPPUNIT_ASSERT_EQUAL(std::size_t{ 3 }, store.Load().size());
      CPPUNIT_ASSERT_EQUAL(1, store.mCalls["workers/w-1\x01"]);
    });
    // Guards against rows that are read twice or left out when a page is read
    // again: each failed call is repeated once, from the same row.
    aSection.It("through failures of every page", [] {
      Fixture store;
      store.mFailures = 4;
      CPPUNIT_ASSERT_EQUAL(std::size_t{ 3 }, store.Load().size());
      for (const auto& [call, count] : store.mCalls) {
        CPPUNIT_ASSERT_EQUAL_MESSAGE(call, 5, count);
      }
    });
  });
}

} // namespace oriolevane
