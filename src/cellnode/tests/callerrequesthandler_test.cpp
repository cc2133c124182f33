#include "cellnode/tests/callerrequestfixture.h"
#include "cellnode/tests/testgroups.h"

namespace oriolevane {

using testing::Section;
using namespace cellnode;
using namespace std::chrono_literals;

namespace {

using Fixture = CallerRequestFixture;

void
DescribeOrderOfChecks(Section& aRoot)
{
  aRoot.Describe("with teams", [](Section& aSection) {
    aSection.It("answers 404 before it looks at the key", [] {
      Fixture fixture;
      fixture.RequireKeys();
      for (const char* path : { "/none/", "/none/x", "/none" }) {
        CPPUNIT_ASSERT(fixture.Call(CallerVerb::Query, path, "") ==
                       CallerAnswerKind::UnknownQueue);
      }
      CPPUNIT_ASSERT(fixture.Call(CallerVerb::Submit,
                                  "/none/" + kFirstJob,
                                  "x") == CallerAnswerKind::UnknownQueue);
    });
    aSection.It("needs a key before it looks at the rest of the request", [] {
      Fixture fixture;
      fixture.RequireKeys();
      for (const CallerVerb verb :
           { CallerVerb::Submit, CallerVerb::Query, CallerVerb::Cancel }) {
        for (const std::string path :
             { "/q/", "/q/x", "/q/00000000000000a1" }) {
          CPPUNIT_ASSERT(fixture.Call(verb, path, "") ==
                         CallerAnswerKind::Unauthorized);
          CPPUNIT_ASSERT(fixture.Call(verb, path, "c") ==
                         CallerAnswerKind::Unauthorized);
        }
      }
      CPPUNIT_ASSERT(!fixture.mScheduler.Records().HasWaiting());
    });
    aSection.It("serves every team's keys, and public queues without one", [] {
      Fixture fixture;
      fixture.RequireKeys();
      CPPUNIT_ASSERT(fixture.Call(CallerVerb::Query, "/q/", "b") ==
                     CallerAnswerKind::Count);
      CPPUNIT_ASSERT(fixture.Call(CallerVerb::Query, "/p/", "") ==
                     CallerAnswerKind::Count);
    });
  });
}

// Guards against 410 for a job that the next owner has accepted already.
void
DescribeUnknownJobs(Section& aRoot)
{
  aRoot.Describe("a job that is not known", [](Section& aSection) {
    aSection.It("is unknown once a later transaction proves ownership", [] {
      for (const CallerVerb verb : { CallerVerb::Query, CallerVerb::Cancel }) {
        for (const std::string path : { "/q/", "/none/" }) {
          if (verb == CallerVerb::Query && path == "/none/") {
            continue;
          }
          Fixture fixture;
          fixture.SendTransaction();
          std::optional<CallerAnswerKind> kind;
          fixture.Call(verb, path + kFirstJob, kind);
          // This transaction was sent before the request arrived.
          fixture.AnswerTransaction(true);
          CPPUNIT_ASSERT(!kind.has_value());
          fixture.SendTransaction();
          fixture.AnswerTransaction(true);
          CPPUNIT_ASSERT(kind == CallerAnswerKind::UnknownJob);
        }
      }
    });
    aSection.It("is not called unknown by a node that lost the shard", [] {
      Fixture fixture;
      std::optional<CallerAnswerKind> kind;
      fixture.Call(CallerVerb::Query, "/q/" + kFirstJob, kind);
      fixture.SendTransaction();
      fixture.AnswerTransaction(false);
      CPPUNIT_ASSERT(!kind.has_value());
    });
    aSection.It("is unknown to a team's key as well", [] {
      Fixture fixture;
      fixture.RequireKeys();
      std::optional<CallerAnswerKind> kind;
      fixture.mHandler.Serve(
        { .mVerb = CallerVerb::Query,
          .mHost = "cell.example",
          .mPath = "/q/" + kFirstJob,
          .mCredential = CredentialKind::Key,
          .mKey = "b" },
        [&kind](const CallerAnswer& aAnswer) { kind = aAnswer.mKind; });
      fixture.SendTransaction();
      fixture.AnswerTransaction(true);
      CPPUNIT_ASSERT(kind == CallerAnswerKind::UnknownJob);
    });
    aSection.It("is refused while the store does not answer", [] {
      Fixture fixture;
      std::optional<CallerAnswerKind> kind;
      fixture.Call(CallerVerb::Query, "/q/" + kFirstJob, kind);
      fixture.SendTransaction();
      fixture.mHandler.RefuseIfStoreUnavailable(TimePoint(1003s));
      CPPUNIT_ASSERT(kind == CallerAnswerKind::Refused);
    });
  });
}

// Guards against a job that starts after its cancelling was answered with 410,
// because a node that stood still passes its submission on later.
void
DescribeJobsCancelledBeforeTheyArrive(Section& aRoot)
{
  aRoot.Describe(
    "a job that is cancelled before it arrives", [](Section& aSection) {
      aSection.It("is not run, and is shown as cancelled from then on", [] {
        Fixture fixture;
        std::optional<CallerAnswerKind> cancelled;
        fixture.Call(CallerVerb::Cancel, "/q/" + kFirstJob, cancelled);
        fixture.CommitTransaction();
        CPPUNIT_ASSERT(cancelled == CallerAnswerKind::UnknownJob);
        CPPUNIT_ASSERT(!fixture.mScheduler.Find(jobs::JobId(kFirstJob)));
        std::optional<CallerAnswerKind> submitted;
        fixture.Call(CallerVerb::Submit, "/q/" + kFirstJob, submitted);
        fixture.CommitTransaction();
        CPPUNIT_ASSERT(submitted == CallerAnswerKind::Accepted);
        CPPUNIT_ASSERT(
          fixture.mScheduler.Find(jobs::JobId(kFirstJob))->mState ==
          jobs::JobState::Cancelled);
        CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 },
                             fixture.mScheduler.Counts().mOpenJobs);
      });
      aSection.It("is not run by the next owner either", [] {
        Fixture fixture;
        std::optional<CallerAnswerKind> cancelled;
        fixture.Call(CallerVerb::Cancel, "/q/" + kFirstJob, cancelled);
        Fixture next;
        next.mScheduler.Recover(
          { .mFinished = { std::get<jobs::FinishedRecord>(
              fixture.mScheduler.ValueOf({ .mKind = jobs::RecordKind::Finished,
                                           .mName = kFirstJob })) } },
          { .mSteady = next.mNow });
        CPPUNIT_ASSERT(!next.mScheduler.Find(jobs::JobId(kFirstJob)));
        std::optional<CallerAnswerKind> submitted;
        next.Call(CallerVerb::Submit, "/q/" + kFirstJob, submitted);
        next.CommitTransaction();
        CPPUNIT_ASSERT(submitted == CallerAnswerKind::Accepted);
        CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 },
                             next.mScheduler.Counts().mOpenJobs);
      });
      aSection.It("is not withheld from another team", [] {
        Fixture fixture;
        fixture.RequireKeys();
        fixture.Call(CallerVerb::Cancel, "/q/" + kFirstJob, "a");
        fixture.Call(CallerVerb::Submit, "/q/" + kFirstJob, "b");
        CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 },
                             fixture.mScheduler.Counts().mOpenJobs);
      });
    });
}

void
DescribeJobsOfTeams(Section& aRoot)
{
  aRoot.Describe("a job of a team", [](Section& aSection) {
    aSection.It("belongs to the team of the key", [] {
      Fixture fixture;
      fixture.RequireKeys();
      fixture.Call(CallerVerb::Submit, "/q/" + kFirstJob, "a");
      CPPUNIT_ASSERT(fixture.mScheduler.Find(jobs::JobId(kFirstJob))->mTeam ==
                     TeamId("a"));
      CPPUNIT_ASSERT(fixture.Call(CallerVerb::Query, "/q/" + kFirstJob, "a") ==
                     CallerAnswerKind::State);
    });
    aSection.It("is hidden from other teams, also through public queues", [] {
      Fixture fixture;
      fixture.RequireKeys();
      fixture.Call(CallerVerb::Submit, "/q/" + kFirstJob, "a");
      for (const CallerVerb verb : { CallerVerb::Query, CallerVerb::Cancel }) {
        CPPUNIT_ASSERT(fixture.Call(verb, "/q/" + kFirstJob, "b") ==
                       CallerAnswerKind::UnknownJob);
        CPPUNIT_ASSERT(fixture.Call(verb, "/p/" + kFirstJob, "") ==
                       CallerAnswerKind::UnknownJob);
      }
      CPPUNIT_ASSERT(fixture.Call(CallerVerb::Submit, "/q/" + kFirstJob, "b") ==
                     CallerAnswerKind::Forbidden);
      CPPUNIT_ASSERT(fixture.Call(CallerVerb::Query, "/q/" + kFirstJob, "a") ==
                     CallerAnswerKind::State);
    });
    aSection.It("stays accessible to its team after its queue was removed", [] {
      Fixture fixture;
      fixture.RequireKeys();
      fixture.Call(CallerVerb::Submit, "/q/" + kFirstJob, "a");
      jobs::CellConfiguration configuration =
        fixture.mScheduler.Configuration();
      configuration.mQueues.clear();
      fixture.Configure(configuration);
      const std::string path = "/q/" + kFirstJob;
      CPPUNIT_ASSERT(fixture.Call(CallerVerb::Query, path, "a") ==
                     CallerAnswerKind::State);
      CPPUNIT_ASSERT(fixture.Call(CallerVerb::Query, path, "b") ==
                     CallerAnswerKind::UnknownJob);
      CPPUNIT_ASSERT(fixture.Call(CallerVerb::Query, path, "") ==
                     CallerAnswerKind::Unauthorized);
    });
    aSection.It("is accessible to everyone when there are no teams", [] {
      Fixture fixture;
      fixture.RequireKeys();
      fixture.Call(CallerVerb::Submit, "/q/" + kFirstJob, "a");
      jobs::CellConfiguration configuration =
        fixture.mScheduler.Configuration();
      configuration.mTeams.reset();
      fixture.Configure(configuration);
      CPPUNIT_ASSERT(fixture.Call(CallerVerb::Query, "/q/" + kFirstJob, "") ==
                     CallerAnswerKind::State);
    });
  });
}

void
DescribeOtherAccess(Section& aRoot)
{
  aRoot.Describe("a job of a public queue", [](Section& aSection) {
    aSection.It("is accessible with and without a key", [] {
      Fixture fixture;
      fixture.RequireKeys();
      fixture.Call(CallerVerb::Submit, "/p/" + kFirstJob, "");
      for (const char* key : { "", "a" }) {
        CPPUNIT_ASSERT(fixture.Call(CallerVerb::Query,
                                    "/p/" + kFirstJob,
                                    key) == CallerAnswerKind::State);
      }
    });
  });
  // The key must be judged when the request is served, as it may have waited.
  aRoot.It("a key that was withdrawn gets no answer about its team's job", [] {
    Fixture fixture;
    fixture.RequireKeys();
    fixture.Call(CallerVerb::Submit, "/q/" + kFirstJob, "a");
    jobs::CellConfiguration configuration = fixture.mScheduler.Configuration();
    configuration.mTeams->front().mKeys = { "new" };
    fixture.Configure(configuration);
    for (const CallerVerb verb :
         { CallerVerb::Submit, CallerVerb::Query, CallerVerb::Cancel }) {
      CPPUNIT_ASSERT(fixture.Call(verb, "/q/" + kFirstJob, "a") ==
                     CallerAnswerKind::Unauthorized);
    }
    CPPUNIT_ASSERT(fixture.Call(CallerVerb::Query, "/q/" + kFirstJob, "new") ==
                   CallerAnswerKind::State);
  });
}

// What callers got in a trial.
struct CallerOutcomes
{
  int mAccepted = 0;
  int mRefused = 0;
  Duration mLongestWait{};
};

// Plays submissions that arrive each 5 ms for 4 s, while the store takes
// aCommitTime for each transaction.
CallerOutcomes
PlaySubmissions(Duration aCommitTime)
{
  constexpr Duration kStep = 5ms;
  Fixture fixture;
  CallerOutcomes outcomes;
  std::optional<TimePoint> sentAt;
  const TimePoint begin = fixture.mNow;
  for (; fixture.mNow < begin + 10s; fixture.mNow += kStep) {
    if (fixture.mNow < begin + 4s) {
      const auto number =
        100000 + static_cast<int>((fixture.mNow - begin) / kStep);
      fixture.mHandler.Serve(
        Submission("0000000000" + std::to_string(number)),
        [&fixture, &outcomes, at = fixture.mNow](const CallerAnswer& aAnswer) {
          const bool accepted = aAnswer.mKind == CallerAnswerKind::Accepted;
          ++(accepted ? outcomes.mAccepted : outcomes.mRefused);
          outcomes.mLongestWait =
            std::max(outcomes.mLongestWait, fixture.mNow - at);
        });
    }
    fixture.SendTransaction();
    if (fixture.mAnswerCommit && !sentAt.has_value()) {
      sentAt = fixture.mNow;
    }
    if (sentAt.has_value() && *sentAt + aCommitTime <= fixture.mNow) {
      sentAt.reset();
      fixture.AnswerTransaction(true);
    }
    fixture.mHandler.RefuseIfStoreUnavailable(fixture.mNow);
  }
  return outcomes;
}

void
DescribeSlowStore(Section& aRoot)
{
  aRoot.Describe(
    "more submissions than a slow store takes", [](Section& aSection) {
      aSection.It("are refused in time, and the store is kept busy", [] {
        const CallerOutcomes outcomes = PlaySubmissions(1000ms);
        CPPUNIT_ASSERT_EQUAL(800, outcomes.mAccepted + outcomes.mRefused);
        // The nodes that forward requests give up after 2.5 s.
        CPPUNIT_ASSERT(outcomes.mLongestWait < 2500ms);
        // Three full transactions begin within the time of the burst, once the
        // first two have shown how slow the store is.
        CPPUNIT_ASSERT(outcomes.mAccepted >= 3 * 97);
      });
      aSection.It("are refused together when they are of the same job", [] {
        Fixture fixture;
        std::vector<CallerAnswerKind> kinds;
        const auto submit = [&](const std::string& aJob) {
          fixture.mHandler.Serve(Submission(aJob),
                                 [&kinds](const CallerAnswer& aAnswer) {
                                   kinds.push_back(aAnswer.mKind);
                                 });
        };
        // One transaction shows that the store takes 1 s, and another is sent.
        submit("00000000000000b1");
        fixture.SendTransaction();
        fixture.mNow += 10ms;
        fixture.SendTransaction();
        fixture.mNow += 1s;
        fixture.AnswerTransaction(true);
        submit("00000000000000b2");
        fixture.SendTransaction();
        fixture.mNow += 10ms;
        fixture.SendTransaction();
        kinds.clear();
        submit(kSecondJob);
        fixture.mNow += 900ms;
        submit(kSecondJob);
        fixture.mNow += 600ms;
        fixture.mHandler.RefuseIfStoreUnavailable(fixture.mNow);
        CPPUNIT_ASSERT(
          kinds == std::vector<CallerAnswerKind>(2, CallerAnswerKind::Refused));
      });
      aSection.It("are all accepted by a store of the usual speed", [] {
        const CallerOutcomes outcomes = PlaySubmissions(15ms);
        CPPUNIT_ASSERT_EQUAL(800, outcomes.mAccepted);
      });
    });
}

void
DescribeFullMemory(Section& aRoot)
{
  aRoot.It("a job beyond what its host has for jobs is refused, to come back",
           [] {
             Fixture fixture({ .mJobLimits = { .mBytes = 5000 } });
             fixture.Submit(kFirstJob);
             fixture.Submit(kSecondJob);
             CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, fixture.mAnswers.size());
             const CallerAnswer& answer = fixture.mAnswers.front();
             CPPUNIT_ASSERT(answer.mKind == CallerAnswerKind::Refused);
             CPPUNIT_ASSERT(answer.mRetryAfter >= 2s);
             fixture.Submit(kFirstJob);
             fixture.CommitTransaction();
             CPPUNIT_ASSERT(fixture.mAnswers.back().mKind ==
                            CallerAnswerKind::Accepted);
           });
}

} // namespace

void
CallerRequestHandlerTests(Section& aRoot)
{
  DescribeOrderOfChecks(aRoot);
  DescribeUnknownJobs(aRoot);
  DescribeJobsCancelledBeforeTheyArrive(aRoot);
  DescribeJobsOfTeams(aRoot);
  DescribeOtherAccess(aRoot);
  DescribeSlowStore(aRoot);
  DescribeFullMemory(aRoot);
}

} // namespace oriolevane
