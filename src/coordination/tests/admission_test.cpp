#include "coordination/internal/admission.h"
#include "coordination/tests/fixture.h"
#include "coordination/tests/stories.h"

namespace oriolevane::coordination {

using oriolevane::testing::Section;
using protocol::Outcome;
using protocol::RefusalReason;
using protocol::Urgency;
using namespace testing;

namespace {

const TeamId kOne("one");
const TeamId kTwo("two");

int
AdmitUpTo(internal::Admission& aAdmission,
          const TeamId& aTeam,
          Urgency aUrgency,
          int aMost,
          TimePoint aNow)
{
  int admitted = 0;
  while (admitted < aMost && !aAdmission.Refuse(aTeam, aUrgency, 1.0s, aNow)) {
    ++admitted;
  }
  return admitted;
}

void
BucketStory(Section& aSection)
{
  aSection.It(
    "admits a burst that the rate serves within the tolerated wait, "
    "then the rate",
    [] {
      internal::Admission admission;
      admission.SetRate(100);
      TimePoint now{ 1h };
      CPPUNIT_ASSERT_EQUAL(
        100, AdmitUpTo(admission, kOne, Urgency::Normal, 999, now));
      now += 500ms;
      CPPUNIT_ASSERT_EQUAL(
        50, AdmitUpTo(admission, kOne, Urgency::Normal, 999, now));
      const auto retry = admission.Refuse(kOne, Urgency::Normal, 1.0s, now);
      now += *retry;
      CPPUNIT_ASSERT(!admission.Refuse(kOne, Urgency::Normal, 1.0s, now));
    });
  aSection.It("admits the urgent although the low have filled it", [] {
    internal::Admission admission;
    admission.SetRate(100);
    const TimePoint now{ 1h };
    AdmitUpTo(admission, kOne, Urgency::Low, 999, now);
    CPPUNIT_ASSERT_EQUAL(100,
                         AdmitUpTo(admission, kOne, Urgency::Urgent, 999, now));
    CPPUNIT_ASSERT(admission.Refuse(kOne, Urgency::Low, 1.0s, now));
  });
  aSection.It("leaves a team its share when another floods", [] {
    internal::Admission admission;
    admission.SetRate(100);
    TimePoint now{ 1h };
    int second = 0;
    for (int tick = 0; tick < 200; ++tick) {
      now += 50ms;
      AdmitUpTo(admission, kOne, Urgency::Normal, 50, now);
      second += AdmitUpTo(admission, kTwo, Urgency::Normal, 2, now);
    }
    CPPUNIT_ASSERT(second >= 360);
  });
}

RefusalReason
ReasonFor(const protocol::RequestSpec& aSpec)
{
  Fixture fixture;
  fixture.Serve();
  const auto reply = fixture.Reply(fixture.Submit(aSpec));
  CPPUNIT_ASSERT(reply && Outcome::NotRun == reply->mOutcome);
  CPPUNIT_ASSERT(fixture.mJournal.empty());
  return reply->mReason;
}

void
RefusalStory(Section& aSection)
{
  aSection.It("names the resource that no host has", [] {
    Fixture fixture;
    fixture.Serve();
    protocol::RequestSpec spec = MakeSpec("a");
    spec.mPerTask.mAccelerators = 3;
    const auto reply = fixture.Reply(fixture.Submit(spec));
    CPPUNIT_ASSERT(RefusalReason::NeverRunnable == reply->mReason);
    CPPUNIT_ASSERT(reply->mDetail ==
                   "no worker has 3 accelerators, the most is 2");
    CPPUNIT_ASSERT(!reply->mRetryAfter);
  });
  aSection.It("waits with that word while a shard is not known", [] {
    Fixture fixture;
    fixture.Serve();
    protocol::ShardDigest digest = MakeDigest(1, 1, 2);
    digest.mReady = false;
    fixture.Handle(DigestReceived{ digest });
    protocol::RequestSpec spec = MakeSpec("a");
    spec.mPerTask.mAccelerators = 3;
    CPPUNIT_ASSERT(!fixture.Reply(fixture.Submit(spec)));
  });
  aSection.It("comes at once for limits, quotas and nonsense", [] {
    protocol::RequestSpec spec = MakeSpec("a");
    spec.mPerTask.mMilliCores = 65'000;
    CPPUNIT_ASSERT(RefusalReason::NeverRunnable == ReasonFor(spec));
    spec = MakeSpec("a");
    spec.mStartTogether = true;
    spec.mTaskCount = 10'000;
    CPPUNIT_ASSERT(RefusalReason::NeverRunnable == ReasonFor(spec));
    spec.mPerTask.mMilliCores = 2'000;
    CPPUNIT_ASSERT(RefusalReason::QuotaExceeded == ReasonFor(spec));
    spec = MakeSpec("a");
    spec.mTaskCount = 0;
    CPPUNIT_ASSERT(RefusalReason::Invalid == ReasonFor(spec));
    spec = MakeSpec("a");
    spec.mPerTask.mSlots = -1;
    CPPUNIT_ASSERT(RefusalReason::Invalid == ReasonFor(spec));
    spec = MakeSpec("a");
    spec.mWorkload = WorkloadId("unheard-of");
    CPPUNIT_ASSERT(RefusalReason::UnknownWorkload == ReasonFor(spec));
  });
  aSection.It("says when to come back while the shards are behind", [] {
    Fixture fixture;
    fixture.Serve();
    for (std::uint32_t shard = 0; shard < 2; ++shard) {
      protocol::ShardDigest digest = MakeDigest(shard, 1, 2);
      digest.mExpectedWait = 70'000ms;
      fixture.Handle(DigestReceived{ digest });
    }
    protocol::RequestSpec spec = MakeSpec("a");
    auto reply = fixture.Reply(fixture.Submit(spec));
    CPPUNIT_ASSERT(RefusalReason::Overloaded == reply->mReason);
    CPPUNIT_ASSERT(reply->mRetryAfter == 10'000ms);
    spec.mDeadline = 30'000ms;
    reply = fixture.Reply(fixture.Submit(spec));
    CPPUNIT_ASSERT(RefusalReason::DeadlineUnreachable == reply->mReason);
    spec = MakeSpec("b");
    spec.mUrgency = Urgency::Urgent;
    CPPUNIT_ASSERT(!fixture.Reply(fixture.Submit(spec)));
  });
}

} // namespace

void
AdmissionStory(Section& aStory)
{
  aStory.Describe("the token bucket", BucketStory);
  aStory.Describe("a refusal", RefusalStory);
}

} // namespace oriolevane::coordination
