#include "cellnode/internal/workercalls.h"

#include <optional>

#include "cellnode/tests/stories.h"

namespace oriolevane {

using testing::Section;
using namespace cellnode;
using namespace std::chrono_literals;

namespace {

// Records the timeouts of calls; starts are answered as told.
struct Calls
{
  std::vector<Duration> mStarts;
  std::vector<Duration> mPolls;
  jobs::OrderResult mResult = jobs::OrderResult::Done;
  UpstreamHooks mHooks;
  std::optional<WorkerCalls> mCalls;

  Calls()
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
WorkerCallsStory(Section& aStory)
{
  aStory.Describe("the timeout of a start", [](Section& aSection) {
    aSection.It("follows answers that come soon", [] {
      Calls calls;
      for (int start = 0; start < 40; ++start) {
        calls.Start();
      }
      CPPUNIT_ASSERT(calls.mStarts.front() == 300ms);
      CPPUNIT_ASSERT(calls.mStarts.back() == 100ms);
    });
    aSection.It("is longer when the order is sent again", [] {
      Calls calls;
      calls.Start(1);
      calls.Start(2);
      CPPUNIT_ASSERT(calls.mStarts[1] >= 200ms);
    });
    aSection.It("grows when no answers come", [] {
      Calls calls;
      for (int start = 0; start < 40; ++start) {
        calls.Start();
      }
      calls.mResult = jobs::OrderResult::Unknown;
      for (int start = 0; start < 10; ++start) {
        calls.Start();
      }
      CPPUNIT_ASSERT(calls.mStarts.back() > 150ms);
    });
  });
  aStory.Describe(
    "the timeout for workers that never answer", [](Section& aSection) {
      aSection.It("does not grow without end", [] {
        Calls calls;
        calls.mResult = jobs::OrderResult::Unknown;
        for (int start = 0; start < 100; ++start) {
          calls.Start(1 + start % 3);
          calls.mCalls->Poll({}, [](TimePoint, const jobs::PollAnswer&) {});
        }
        CPPUNIT_ASSERT(calls.mStarts.back() <= 600ms);
        CPPUNIT_ASSERT(calls.mPolls.back() <= 600ms);
      });
    });
  aStory.Describe("the timeout of a poll", [](Section& aSection) {
    aSection.It("allows for the time that the worker may wait", [] {
      Calls calls;
      calls.mCalls->Poll({ .mWait = 500ms },
                         [](TimePoint, const jobs::PollAnswer&) {});
      CPPUNIT_ASSERT(calls.mPolls.front() > 500ms);
      CPPUNIT_ASSERT(calls.mPolls.front() <= 500ms + 600ms);
    });
  });
}

} // namespace oriolevane
