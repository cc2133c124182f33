#include "placement/tests/harness.h"
#include "placement/tests/stories.h"

namespace oriolevane::placement {

using protocol::TaskEndReason;
using protocol::TaskState;
using protocol::Urgency;
using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::Section;

namespace {

protocol::PlaceTasks
TeamOrder(const std::string& aTeam,
          const std::string& aRequest,
          std::uint32_t aTasks)
{
  protocol::PlaceTasks order = TestOrder(aRequest, aTasks);
  order.mTeam = TeamId{ aTeam };
  order.mShardEpoch = Epoch{ 2 };
  return order;
}

protocol::PlaceTasks
UrgencyOrder(Urgency aUrgency, const std::string& aRequest)
{
  protocol::PlaceTasks order = TestOrder(aRequest);
  order.mUrgency = aUrgency;
  return order;
}

void
Order(Section& aSection)
{
  aSection.It("is by urgency", [] {
    Harness harness(1);
    harness.mRunTime = seconds{ 2 };
    harness.Give(TestOrder("filler", 8));
    harness.Give(UrgencyOrder(Urgency::Low, "low"));
    harness.Give(UrgencyOrder(Urgency::Urgent, "urgent"));
    harness.Worker(0).Advance(milliseconds{ 0 });
    protocol::CancelTasks cancel{
      .mRoute = TestOrder("").mRoute,
      .mShardEpoch = Epoch{ 1 },
      .mTasks = { { .mRequest = RequestId{ "filler" }, .mAttempt = 1 } }
    };
    harness.Give(cancel);
    CPPUNIT_ASSERT_EQUAL(1, harness.Starts("urgent"));
    CPPUNIT_ASSERT_EQUAL(0, harness.Starts("low"));
  });
  aSection.It("lets small work pass large work that does not fit", [] {
    Harness harness(1);
    harness.Give(TestOrder("filler"));
    protocol::PlaceTasks large = TestOrder("large");
    large.mPerTask.mMilliCores = 8'000;
    harness.Give(large);
    harness.Give(TestOrder("small"));
    CPPUNIT_ASSERT_EQUAL(1, harness.Starts("small"));
  });
  aSection.It("shares by dominant resource and weight", [] {
    Harness harness(2);
    policy::CellPolicy policy;
    policy.mTeams[TeamId{ "crews" }] = { .mTeam = TeamId{ "crews" },
                                         .mLimit = { 999'000, 999'000, 99, 99 },
                                         .mWeight = 3.0 };
    harness.SetPolicy(policy);
    PlacerOptions options = TestOptions();
    options.mEpoch = Epoch{ 2 };
    harness.mPlacer = std::make_unique<Placer>(options);
    harness.SetPolicy(policy);
    harness.Give(TeamOrder("crews", "a", 16));
    harness.Give(TeamOrder("office", "b", 16));
    harness.Give(
      WorkersListed{ { harness.Worker(0).Info(), harness.Worker(1).Info() } });
    CPPUNIT_ASSERT_EQUAL(12, harness.Starts("a"));
    CPPUNIT_ASSERT_EQUAL(4, harness.Starts("b"));
  });
  aSection.It("keeps a team within its quota", [] {
    PlacerOptions options = TestOptions();
    options.mEpoch = Epoch{ 2 };
    Harness harness(2, options);
    policy::CellPolicy policy;
    policy.mTeams[TeamId{ "crews" }] = {
      .mTeam = TeamId{ "crews" },
      .mLimit = { 5'000, 999'000, 99, 99 },
    };
    harness.SetPolicy(policy);
    harness.Give(TeamOrder("crews", "a", 16));
    harness.Give(TeamOrder("office", "b", 2));
    CPPUNIT_ASSERT_EQUAL(5, harness.Starts("a"));
    CPPUNIT_ASSERT_EQUAL(2, harness.Starts("b"));
  });
  aSection.It("lets low work rise with age over a stream of normal work", [] {
    PlacerOptions options = TestOptions();
    options.mAgingStep = seconds{ 5 };
    Harness harness(1, options);
    harness.mRunTime = milliseconds{ 1'000 };
    for (int round = 0; round < 40; ++round) {
      harness.Give(TestOrder("normal-" + std::to_string(round), 12));
      if (round == 2) {
        harness.Give(UrgencyOrder(Urgency::Low, "low"));
      }
      harness.Pass(milliseconds{ 1'000 });
    }
    CPPUNIT_ASSERT_EQUAL(1, harness.Starts("low"));
  });
}

void
Preemption(Section& aSection)
{
  const auto run = [](bool aPreemptible, bool aNeverRepeat) {
    auto harness = std::make_unique<Harness>(1);
    policy::CellPolicy policy;
    const WorkloadId models{ "models" };
    policy.mWorkloads[models] = { .mWorkload = models,
                                  .mPreemptible = aPreemptible };
    harness->SetPolicy(policy);
    protocol::PlaceTasks low = TestOrder("low", 8);
    low.mWorkload = models;
    low.mUrgency = Urgency::Low;
    low.mNeverRepeat = aNeverRepeat;
    harness->Give(low);
    harness->Give(UrgencyOrder(Urgency::Urgent, "urgent"));
    return harness;
  };
  aSection.It("makes room for urgent work by a checkpoint", [run] {
    const std::unique_ptr<Harness> harness = run(true, false);
    CPPUNIT_ASSERT_EQUAL(1, harness->Starts("urgent"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 8 }, harness->RunningCount());
    int preempted = 0;
    for (const protocol::TaskUpdate& update : harness->mUpdates) {
      preempted += update.mReason == TaskEndReason::Preempted ? 1 : 0;
    }
    CPPUNIT_ASSERT_EQUAL(1, preempted);
  });
  aSection.It("spares work that the policy protects", [run] {
    CPPUNIT_ASSERT_EQUAL(0, run(false, false)->Starts("urgent"));
  });
  aSection.It("spares work that must not be repeated", [run] {
    CPPUNIT_ASSERT_EQUAL(0, run(true, true)->Starts("urgent"));
  });
}

void
Choice(Section& aSection)
{
  aSection.It("spreads a service over zones", [] {
    Harness harness(36);
    policy::CellPolicy policy;
    const WorkloadId dispatch{ "dispatch" };
    policy.mWorkloads[dispatch] = { .mWorkload = dispatch,
                                    .mWeights = { .mSpread = 2.0 },
                                    .mSpread = policy::Spread::Zone };
    harness.SetPolicy(policy);
    protocol::PlaceTasks order = TestOrder("service", 6);
    order.mWorkload = dispatch;
    order.mService = true;
    harness.Give(order);
    std::map<ZoneId, int> zones;
    for (std::size_t number = 0; number < 36; ++number) {
      zones[harness.Worker(number).Info().mZone] +=
        static_cast<int>(harness.Worker(number).Running().size());
    }
    for (const auto& [zone, count] : zones) {
      CPPUNIT_ASSERT_EQUAL(2, count);
    }
  });
  aSection.It("keeps away from hosts to avoid", [] {
    Harness harness(2);
    protocol::PlaceTasks order = TestOrder("a", 8);
    order.mAvoid = { WorkerId{ "w-1" } };
    harness.Give(order);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 8 }, harness.Worker(0).Running().size());
  });
  aSection.It("grants no more than the policy's share of a worker", [] {
    Harness harness(1);
    policy::CellPolicy policy;
    policy.mGrantablePerMille = 500;
    harness.SetPolicy(policy);
    harness.Give(TestOrder("a", 8));
    CPPUNIT_ASSERT_EQUAL(4, harness.Starts("a"));
  });
}

} // namespace

void
QueueStory(Section& aStory)
{
  aStory.Describe("the order", Order);
  aStory.Describe("preemption", Preemption);
  aStory.Describe("the choice of a worker", Choice);
}

} // namespace oriolevane::placement
