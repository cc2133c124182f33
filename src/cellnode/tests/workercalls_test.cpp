#include "cellnode/internal/workercalls.h"

#include <optional>

#include "cellnode/tests/testgroups.h"

namespace oriolevane {

using testing::Section;
using namespace cellnode;
using namespace std::chrono_literals;

namespace {

// Records the timeouts of calls and answers starts with mResult.
struct Fixture
{
  std::vector<Duration> mStarts;
  std::vector<Duration> mPolls;
  jobs::OrderResult mResult = jobs::OrderResult::Done;
  UpstreamHooks mHooks;
  std::optional<WorkerCalls> mCalls;

  Fixture()
  {
    mHooks.mStart =
      [this](const jobs::StartOrder&, Duration aTimeout, const auto& aDone) {
        mStarts.push_back(aTimeout);
        aDone({ .mResult = mResult, .mNow = {} });
      };
    mHooks.mPoll =
      [this](const jobs::PollOrder&, Duration aTimeout, const auto& aDone) {
        mPolls.push_back(aTimeout);
        aDone({});
      };
    mCalls.emplace(mHooks);
  }
  void Start(int aAttempt = 1)
  {
    mCalls->Start({ .mAttempt = aAttempt }, [](const jobs::OrderAnswer&) {});
  }
};

} // namespace

void
WorkerCallsTests(Section& aRoot)
{
  aRoot.Describe("the timeout of a start", [](Section& aSection) {
    aSection.It("decreases when answers are fast", [] {
      Fixture fixture;
      for (int start = 0; start < 40; ++start) {
        fixture.Start();
      }
      CPPUNIT_ASSERT(fixture.mStarts.front() == 300ms);
      CPPUNIT_ASSERT(fixture.mStarts.back() == 100ms);
    });
    aSection.It("is longer when the order is sent again", [] {
      Fixture fixture;
      fixture.Start(1);
      fixture.Start(2);
      CPPUNIT_ASSERT(fixture.mStarts[1] >= 200ms);
    });
    aSection.It("grows when no answers come", [] {
      Fixture fixture;
      for (int start = 0; start < 40; ++start) {
        fixture.Start();
      }
      fixture.mResult = jobs::OrderResult::Unknown;
      for (int start = 0; start < 10; ++start) {
        fixture.Start();
      }
      CPPUNIT_ASSERT(fixture.mStarts.back() > 150ms);
    });
  });
  aRoot.Describe(
    "the timeout for workers that never answer", [](Section& aSection) {
      aSection.It("is bounded", [] {
        Fixture fixture;
        fixture.mResult = jobs::OrderResult::Unknown;
        for (int start = 0; start < 100; ++start) {
          fixture.Start(1 + start % 3);
          fixture.mCalls->Poll({}, [](TimePoint, const jobs::PollAnswer&) {});
        }
        CPPUNIT_ASSERT(fixture.mStarts.back() <= 600ms);
        CPPUNIT_ASSERT(fixture.mPolls.back() <= 600ms);
      });
    });
  aRoot.Describe("the timeout of a poll", [](Section& aSection) {
    aSection.It("includes the time that the worker may wait", [] {
      Fixture fixture;
      fixture.mCalls->Poll({ .mWait = 500ms },
                           [](TimePoint, const jobs::PollAnswer&) {});
      CPPUNIT_ASSERT(fixture.mPolls.front() > 500ms);
      CPPUNIT_ASSERT(fixture.mPolls.front() <= 500ms + 600ms);
    });
  });
}

} // namespace oriolevane
