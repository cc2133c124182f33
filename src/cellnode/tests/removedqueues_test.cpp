#include "cellnode/tests/callerrequestfixture.h"
#include "cellnode/tests/testgroups.h"

namespace oriolevane {

using testing::Section;
using namespace cellnode;
using namespace std::chrono_literals;

namespace {

const std::string kNightPath = "/q/night/" + kFirstJob;

struct NestedQueues
{
  bool mOuterPublic = false;
  bool mInnerPublic = false;
};

// Queues "/q/" and "/q/night/". A job of the second one is accepted with
// aKey, and then its queue is removed.
class RemovedQueueFixture : public CallerRequestFixture
{
public:
  explicit RemovedQueueFixture(const NestedQueues& aQueues = {},
                               const std::string& aKey = "a")
  {
    RequireKeys();
    jobs::CellConfiguration configuration = mScheduler.Configuration();
    configuration.mQueues.front().mPublic = aQueues.mOuterPublic;
    configuration.mQueues.push_back({ .mName = jobs::QueueName("night"),
                                      .mHost = "cell.example",
                                      .mPathPrefix = "/q/night/",
                                      .mPublic = aQueues.mInnerPublic });
    Configure(configuration);
    CallerRequestFixture::Call(CallerVerb::Submit, kNightPath, aKey);
    CommitTransaction();
    configuration.mQueues.pop_back();
    configuration.mVersion = ConfigurationVersion(2);
    Configure(configuration);
  }

  // The answer, once a change that it waits for is stored.
  CallerAnswerKind Ask(CallerVerb aVerb,
                       const std::string& aPath,
                       const std::string& aKey)
  {
    std::optional<CallerAnswerKind> kind;
    mHandler.Serve(
      { .mVerb = aVerb,
        .mHost = "cell.example",
        .mPath = aPath,
        .mVersion = mRequestVersion,
        .mCredential =
          aKey.empty() ? CredentialKind::Absent : CredentialKind::Key,
        .mKey = aKey },
      [&kind](const CallerAnswer& aAnswer) { kind = aAnswer.mKind; });
    if (!kind.has_value()) {
      CommitTransaction();
    }
    return kind.value();
  }
  jobs::JobState StateOfJob() const
  {
    return mScheduler.Find(jobs::JobId(kFirstJob))->mState;
  }

  // The configuration of the node that passes the requests on.
  ConfigurationVersion mRequestVersion{ 2 };
};

void
DescribePath(Section& aRoot)
{
  aRoot.Describe("under its old path", [](Section& aSection) {
    aSection.It("its state can be read", [] {
      RemovedQueueFixture fixture;
      for (const std::string query : { "", "?x=/y" }) {
        CPPUNIT_ASSERT(fixture.Ask(CallerVerb::Query,
                                   kNightPath + query,
                                   "a") == CallerAnswerKind::State);
      }
    });
    aSection.It("it can be cancelled", [] {
      RemovedQueueFixture fixture;
      CPPUNIT_ASSERT(fixture.Ask(CallerVerb::Cancel, kNightPath, "a") ==
                     CallerAnswerKind::Cancelled);
      CPPUNIT_ASSERT(fixture.StateOfJob() == jobs::JobState::Cancelled);
      // Its final state can be read as well.
      CPPUNIT_ASSERT(fixture.Ask(CallerVerb::Query, kNightPath, "a") ==
                     CallerAnswerKind::State);
    });
    aSection.It("it is not submitted again", [] {
      RemovedQueueFixture fixture;
      CPPUNIT_ASSERT(fixture.Ask(CallerVerb::Submit, kNightPath, "a") ==
                     CallerAnswerKind::UnknownQueue);
      CPPUNIT_ASSERT(fixture.StateOfJob() == jobs::JobState::Queued);
    });
    aSection.It("it is served for a node that has not read the removal", [] {
      RemovedQueueFixture fixture;
      fixture.mRequestVersion = ConfigurationVersion(1);
      CPPUNIT_ASSERT(fixture.Ask(CallerVerb::Cancel, kNightPath, "a") ==
                     CallerAnswerKind::Cancelled);
    });
    aSection.It("it is served if a newer configuration is not read yet", [] {
      RemovedQueueFixture fixture;
      fixture.mRequestVersion = ConfigurationVersion(3);
      CPPUNIT_ASSERT(fixture.Ask(CallerVerb::Submit, kNightPath, "a") ==
                     CallerAnswerKind::Undetermined);
      // Keys may have changed.
      CPPUNIT_ASSERT(fixture.Ask(CallerVerb::Cancel, kNightPath, "a") ==
                     CallerAnswerKind::Refused);
    });
    aSection.It("other jobs and the queue's count are unknown", [] {
      RemovedQueueFixture fixture;
      for (const std::string& job : { kSecondJob, std::string() }) {
        CPPUNIT_ASSERT(fixture.Ask(CallerVerb::Query, "/q/night/" + job, "a") ==
                       CallerAnswerKind::UnknownJob);
      }
    });
  });
}

// Guards against rights that follow another queue's.
void
DescribeRights(Section& aRoot)
{
  aRoot.Describe("a team's job beside a public queue", [](Section& aSection) {
    aSection.It("is accessible with its team's key only", [] {
      RemovedQueueFixture fixture({ .mOuterPublic = true });
      CPPUNIT_ASSERT(fixture.Ask(CallerVerb::Query, kNightPath, "") ==
                     CallerAnswerKind::Unauthorized);
      CPPUNIT_ASSERT(fixture.Ask(CallerVerb::Cancel, kNightPath, "b") ==
                     CallerAnswerKind::UnknownJob);
      CPPUNIT_ASSERT(fixture.Ask(CallerVerb::Cancel, kNightPath, "a") ==
                     CallerAnswerKind::Cancelled);
    });
  });
  aRoot.Describe("a public job beside a team's queue", [](Section& aSection) {
    aSection.It("is accessible without a key", [] {
      RemovedQueueFixture fixture({ .mInnerPublic = true }, "");
      CPPUNIT_ASSERT(fixture.Ask(CallerVerb::Query, kNightPath, "") ==
                     CallerAnswerKind::State);
      CPPUNIT_ASSERT(fixture.Ask(CallerVerb::Cancel, kNightPath, "") ==
                     CallerAnswerKind::Cancelled);
    });
  });
  aRoot.Describe(
    "a team's job of a queue that becomes public", [](Section& aSection) {
      aSection.It("stays accessible with its team's key only", [] {
        CallerRequestFixture fixture;
        fixture.RequireKeys();
        const std::string path = "/q/" + kFirstJob;
        fixture.Call(CallerVerb::Submit, path, "a");
        jobs::CellConfiguration configuration =
          fixture.mScheduler.Configuration();
        configuration.mQueues.front().mPublic = true;
        fixture.Configure(configuration);
        CPPUNIT_ASSERT(fixture.Call(CallerVerb::Query, path, "a") ==
                       CallerAnswerKind::State);
        for (const char* key : { "", "b", "c" }) {
          CPPUNIT_ASSERT(fixture.Call(CallerVerb::Query, path, key) ==
                         CallerAnswerKind::UnknownJob);
        }
      });
    });
}

} // namespace

// Guards against review/12: a job whose queue was removed could not be reached
// while another queue had a prefix of its path, so its cancelling was answered
// with 410 and it went on.
void
RemovedQueueTests(Section& aRoot)
{
  aRoot.Describe("a job whose queue was removed, within another queue's path",
                 DescribePath);
  DescribeRights(aRoot);
}

} // namespace oriolevane
