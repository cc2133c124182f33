#include "cellnode/internal/callerrequesthandler.h"
#include "cellnode/tests/testgroups.h"

namespace oriolevane {

using testing::Section;
using namespace cellnode;
using namespace std::chrono_literals;

namespace {

const std::string kFirstJob = "00000000000000a1";
const std::string kSecondJob = "00000000000000a2";

CallerRequest
Submission(const std::string& aJob)
{
  return { .mVerb = CallerVerb::Submit,
           .mHost = "cell.example",
           .mPath = "/q/" + aJob };
}

// A request handler of an owner whose store never answers.
struct Fixture
{
  ExternalFormats mFormats;
  jobs::CellScheduler mScheduler;
  CellJournal mJournal;
  CallerRequestHandler mHandler;
  std::vector<CallerAnswer> mAnswers;

  Fixture()
    : mFormats({ .mDecodeJob =
                   [](std::string_view) {
                     return jobs::JobSpec{ .mSteps = { { .mTaskCount = 1 } } };
                   } })
    , mScheduler({},
                 { .mStart = [](const jobs::StartOrder&) {},
                   .mStop = [](const jobs::StopOrder&) {},
                   .mPoll = [](const jobs::PollOrder&) {},
                   .mAskAdvice = [](const jobs::AdviceQuery&) {},
                   .mOnFenced = [](const WorkerId&) {} })
    , mJournal({},
               {},
               RowVersion(1),
               mScheduler.Records(),
               { .mCommit = [](const RowTransaction&, Duration, auto) {},
                 .mValueOf =
                   [this](const jobs::RecordKey& aKey) {
                     return mScheduler.ValueOf(aKey);
                   },
                 .mOnRecorded = [](jobs::RecordPosition) {},
                 .mOnOwnershipLost = [] {},
                 .mNow = [] { return TimePoint(1000s); },
                 .mOnCommitted = [](Duration) {} })
    , mHandler(
        mFormats,
        mScheduler,
        mJournal,
        { .mNow = [] { return jobs::Moment{ .mSteady = TimePoint(1000s) }; },
          .mOnWork = [] {} })
  {
    mScheduler.Configure({ .mVersion = ConfigurationVersion(1),
                           .mQueues = { { .mName = jobs::QueueName("q"),
                                          .mHost = "cell.example",
                                          .mPathPrefix = "/q/" } } });
  }

  void Submit(const std::string& aJob)
  {
    mHandler.Serve(Submission(aJob), [this](const CallerAnswer& aAnswer) {
      mAnswers.push_back(aAnswer);
    });
  }
};

} // namespace

void
CallerRequestHandlerTests(Section& aRoot)
{
  aRoot.Describe("while the owner is overloaded", [](Section& aSection) {
    aSection.It("refuses a new job at once, and says when to come back", [] {
      Fixture fixture;
      fixture.mHandler.SetOverloaded(true);
      fixture.Submit(kFirstJob);
      CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, fixture.mAnswers.size());
      const CallerAnswer& answer = fixture.mAnswers.front();
      CPPUNIT_ASSERT(answer.mKind == CallerAnswerKind::Refused);
      CPPUNIT_ASSERT(answer.mRetryAfter >= 1s);
      CPPUNIT_ASSERT(answer.mRetryAfter <= 3s);
    });
    aSection.It("leaves no trace of a refused job", [] {
      Fixture fixture;
      fixture.mHandler.SetOverloaded(true);
      fixture.Submit(kFirstJob);
      CPPUNIT_ASSERT(
        !fixture.mScheduler.Find(jobs::JobId(kFirstJob)).has_value());
      CPPUNIT_ASSERT(!fixture.mScheduler.Records().HasWaiting());
    });
    aSection.It("tells callers to come back at different times", [] {
      Fixture fixture;
      fixture.mHandler.SetOverloaded(true);
      fixture.Submit(kFirstJob);
      fixture.Submit(kSecondJob);
      CPPUNIT_ASSERT(fixture.mAnswers[0].mRetryAfter !=
                     fixture.mAnswers[1].mRetryAfter);
    });
    aSection.It("does not refuse a job that it has taken before", [] {
      Fixture fixture;
      fixture.Submit(kFirstJob);
      fixture.mHandler.SetOverloaded(true);
      fixture.Submit(kFirstJob);
      CPPUNIT_ASSERT(fixture.mAnswers.empty());
    });
  });
  aRoot.It("takes new jobs again afterwards", [] {
    Fixture fixture;
    fixture.mHandler.SetOverloaded(true);
    fixture.mHandler.SetOverloaded(false);
    fixture.Submit(kFirstJob);
    CPPUNIT_ASSERT(fixture.mAnswers.empty());
    CPPUNIT_ASSERT(fixture.mScheduler.Find(jobs::JobId(kFirstJob)).has_value());
  });
}

} // namespace oriolevane
