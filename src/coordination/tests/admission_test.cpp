#include "coordination/internal/admission.h"
#include "coordination/tests/fixture.h"
#include "coordination/tests/testgroups.h"

namespace oriolevane::coordination {

using oriolevane::testing::Section;
using protocol::Outcome;
using protocol::RefusalReason;
using protocol::Urgency;
using namespace testing;

namespace {

const TeamId kTeamOne("one");
const TeamId kTeamTwo("two");

int
AdmitUpTo(internal::Admission& aAdmission,
          const TeamId& aTeam,
          Urgency aUrgency,
          int aMax,
          TimePoint aNow)
{
  int admitted = 0;
  while (admitted < aMax &&
         !aAdmission.AdmitOrRetryAfter(aTeam, aUrgency, 1.0s, aNow)) {
    ++admitted;
  }
  return admitted;
}

void
TokenBucketTests(Section& aSection)
{
  aSection.It(
    "admits the burst that it can serve within the tolerated wait, then admits "
    "at the rate",
    [] {
      internal::Admission admission;
      admission.SetRate(100);
      TimePoint now{ 1h };
      CPPUNIT_ASSERT_EQUAL(
        100, AdmitUpTo(admission, kTeamOne, Urgency::Normal, 999, now));
      now += 500ms;
      CPPUNIT_ASSERT_EQUAL(
        50, AdmitUpTo(admission, kTeamOne, Urgency::Normal, 999, now));
      const auto retry =
        admission.AdmitOrRetryAfter(kTeamOne, Urgency::Normal, 1.0s, now);
      now += *retry;
      CPPUNIT_ASSERT(
        !admission.AdmitOrRetryAfter(kTeamOne, Urgency::Normal, 1.0s, now));
    });
  aSection.It("admits urgent requests after low ones have filled it", [] {
    internal::Admission admission;
    admission.SetRate(100);
    const TimePoint now{ 1h };
    AdmitUpTo(admission, kTeamOne, Urgency::Low, 999, now);
    CPPUNIT_ASSERT_EQUAL(
      100, AdmitUpTo(admission, kTeamOne, Urgency::Urgent, 999, now));
    CPPUNIT_ASSERT(
      admission.AdmitOrRetryAfter(kTeamOne, Urgency::Low, 1.0s, now));
  });
  aSection.It("admits normal requests only at the rate that urgent ones leave",
              [] {
                internal::Admission admission;
                admission.SetRate(100);
                TimePoint now{ 1h };
                for (int tick = 0; tick < 100; ++tick) {
                  now += 50ms;
                  AdmitUpTo(admission, kTeamOne, Urgency::Urgent, 4, now);
                }
                const int admitted =
                  AdmitUpTo(admission, kTeamTwo, Urgency::Normal, 999, now);
                CPPUNIT_ASSERT(admitted >= 8 && admitted <= 25);
              });
  aSection.It(
    "leaves a team its share while another team sends too many requests", [] {
      internal::Admission admission;
      admission.SetRate(100);
      TimePoint now{ 1h };
      int admittedOfTwo = 0;
      for (int tick = 0; tick < 200; ++tick) {
        now += 50ms;
        AdmitUpTo(admission, kTeamOne, Urgency::Normal, 50, now);
        admittedOfTwo +=
          AdmitUpTo(admission, kTeamTwo, Urgency::Normal, 2, now);
      }
      CPPUNIT_ASSERT(admittedOfTwo >= 360);
    });
}

RefusalReason
RefusalReasonFor(const protocol::RequestSpec& aSpec)
{
  Fixture fixture;
  fixture.StartServing();
  const auto reply = fixture.Reply(fixture.Submit(aSpec));
  CPPUNIT_ASSERT(reply && Outcome::NotRun == reply->mOutcome);
  CPPUNIT_ASSERT(fixture.mJournal.empty());
  return reply->mReason;
}

void
RefusalTests(Section& aSection)
{
  aSection.It("names the resource that no worker has enough of", [] {
    Fixture fixture;
    fixture.StartServing();
    protocol::RequestSpec spec = MakeSpec("a");
    spec.mPerTask.mAccelerators = 3;
    const auto reply = fixture.Reply(fixture.Submit(spec));
    CPPUNIT_ASSERT(RefusalReason::NeverRunnable == reply->mReason);
    CPPUNIT_ASSERT(reply->mDetail ==
                   "no worker has 3 accelerators, the most is 2");
    CPPUNIT_ASSERT(!reply->mRetryAfter);
  });
  aSection.It("as never runnable is not sent while a shard is not ready", [] {
    Fixture fixture;
    fixture.StartServing();
    protocol::ShardDigest digest = MakeDigest(1, 1, 2);
    digest.mReady = false;
    fixture.Handle(DigestReceived{ digest });
    protocol::RequestSpec spec = MakeSpec("a");
    spec.mPerTask.mAccelerators = 3;
    CPPUNIT_ASSERT(!fixture.Reply(fixture.Submit(spec)));
  });
  aSection.It(
    "comes at once for exceeded limits and quotas and for invalid requests",
    [] {
      protocol::RequestSpec spec = MakeSpec("a");
      spec.mPerTask.mMilliCores = 65'000;
      CPPUNIT_ASSERT(RefusalReason::NeverRunnable == RefusalReasonFor(spec));
      spec = MakeSpec("a");
      spec.mStartTogether = true;
      spec.mTaskCount = 10'000;
      CPPUNIT_ASSERT(RefusalReason::NeverRunnable == RefusalReasonFor(spec));
      spec.mPerTask.mMilliCores = 2'000;
      CPPUNIT_ASSERT(RefusalReason::QuotaExceeded == RefusalReasonFor(spec));
      spec = MakeSpec("a");
      spec.mTaskCount = 0;
      CPPUNIT_ASSERT(RefusalReason::Invalid == RefusalReasonFor(spec));
      spec = MakeSpec("a");
      spec.mPerTask.mSlots = -1;
      CPPUNIT_ASSERT(RefusalReason::Invalid == RefusalReasonFor(spec));
      spec = MakeSpec("a");
      spec.mWorkload = WorkloadId("unknown");
      CPPUNIT_ASSERT(RefusalReason::UnknownWorkload == RefusalReasonFor(spec));
    });
  aSection.It(
    "gives a retry delay while the expected wait of the shards is too long",
    [] {
      Fixture fixture;
      fixture.StartServing();
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
AdmissionTests(Section& aRoot)
{
  aRoot.Describe("the token bucket", TokenBucketTests);
  aRoot.Describe("a refusal", RefusalTests);
}

} // namespace oriolevane::coordination
