#include "placement/tests/harness.h"
#include "placement/tests/testgroups.h"

namespace oriolevane::placement {

using protocol::TaskEndReason;
using protocol::TaskState;
using protocol::Urgency;
using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::Section;

namespace {

protocol::PlaceTasks
MakeTeamPlaceTasks(const std::string& aTeam,
                   const std::string& aRequest,
                   std::uint32_t aTasks)
{
  protocol::PlaceTasks placeTasks = MakePlaceTasks(aRequest, aTasks);
  placeTasks.mTeam = TeamId{ aTeam };
  placeTasks.mShardEpoch = Epoch{ 2 };
  return placeTasks;
}

protocol::PlaceTasks
MakeUrgencyPlaceTasks(Urgency aUrgency, const std::string& aRequest)
{
  protocol::PlaceTasks placeTasks = MakePlaceTasks(aRequest);
  placeTasks.mUrgency = aUrgency;
  return placeTasks;
}

void
TestQueueOrder(Section& aSection)
{
  aSection.It("is by urgency", [] {
    Harness harness(1);
    harness.mTaskRunTime = seconds{ 2 };
    harness.HandleEvent(MakePlaceTasks("filler", 8));
    harness.HandleEvent(MakeUrgencyPlaceTasks(Urgency::Low, "low"));
    harness.HandleEvent(MakeUrgencyPlaceTasks(Urgency::Urgent, "urgent"));
    harness.Worker(0).Advance(milliseconds{ 0 });
    protocol::CancelTasks cancel{
      .mRoute = MakePlaceTasks("").mRoute,
      .mShardEpoch = Epoch{ 1 },
      .mTasks = { { .mRequest = RequestId{ "filler" }, .mAttempt = 1 } }
    };
    harness.HandleEvent(cancel);
    CPPUNIT_ASSERT_EQUAL(1, harness.StartCount("urgent"));
    CPPUNIT_ASSERT_EQUAL(0, harness.StartCount("low"));
  });
  aSection.It("lets small tasks pass a large task that does not fit", [] {
    Harness harness(1);
    harness.HandleEvent(MakePlaceTasks("filler"));
    protocol::PlaceTasks large = MakePlaceTasks("large");
    large.mPerTask.mMilliCores = 8'000;
    harness.HandleEvent(large);
    harness.HandleEvent(MakePlaceTasks("small"));
    CPPUNIT_ASSERT_EQUAL(1, harness.StartCount("small"));
  });
  aSection.It("divides capacity by dominant resource share and team weight",
              [] {
                Harness harness(2);
                policy::CellPolicy policy;
                policy.mTeams[TeamId{ "crews" }] = {
                  .mTeam = TeamId{ "crews" },
                  .mLimit = { 999'000, 999'000, 99, 99 },
                  .mWeight = 3.0
                };
                harness.SetPolicy(policy);
                PlacerOptions options = MakePlacerOptions();
                options.mEpoch = Epoch{ 2 };
                harness.mPlacer = std::make_unique<Placer>(options);
                harness.SetPolicy(policy);
                harness.HandleEvent(MakeTeamPlaceTasks("crews", "a", 16));
                harness.HandleEvent(MakeTeamPlaceTasks("office", "b", 16));
                harness.HandleEvent(WorkersListed{
                  { harness.Worker(0).Info(), harness.Worker(1).Info() } });
                CPPUNIT_ASSERT_EQUAL(12, harness.StartCount("a"));
                CPPUNIT_ASSERT_EQUAL(4, harness.StartCount("b"));
              });
  aSection.It("keeps a team within its quota", [] {
    PlacerOptions options = MakePlacerOptions();
    options.mEpoch = Epoch{ 2 };
    Harness harness(2, options);
    policy::CellPolicy policy;
    policy.mTeams[TeamId{ "crews" }] = {
      .mTeam = TeamId{ "crews" },
      .mLimit = { 5'000, 999'000, 99, 99 },
    };
    harness.SetPolicy(policy);
    harness.HandleEvent(MakeTeamPlaceTasks("crews", "a", 16));
    harness.HandleEvent(MakeTeamPlaceTasks("office", "b", 2));
    CPPUNIT_ASSERT_EQUAL(5, harness.StartCount("a"));
    CPPUNIT_ASSERT_EQUAL(2, harness.StartCount("b"));
  });
  aSection.It(
    "raises a low task with its age above a stream of normal tasks", [] {
      PlacerOptions options = MakePlacerOptions();
      options.mAgingStep = seconds{ 5 };
      Harness harness(1, options);
      harness.mTaskRunTime = milliseconds{ 1'000 };
      for (int round = 0; round < 40; ++round) {
        harness.HandleEvent(
          MakePlaceTasks("normal-" + std::to_string(round), 12));
        if (round == 2) {
          harness.HandleEvent(MakeUrgencyPlaceTasks(Urgency::Low, "low"));
        }
        harness.AdvanceTime(milliseconds{ 1'000 });
      }
      CPPUNIT_ASSERT_EQUAL(1, harness.StartCount("low"));
    });
}

void
TestPreemption(Section& aSection)
{
  const auto submitUrgent = [](bool aPreemptible, bool aNeverRepeat) {
    auto harness = std::make_unique<Harness>(1);
    policy::CellPolicy policy;
    const WorkloadId models{ "models" };
    policy.mWorkloads[models] = { .mWorkload = models,
                                  .mPreemptible = aPreemptible };
    harness->SetPolicy(policy);
    protocol::PlaceTasks low = MakePlaceTasks("low", 8);
    low.mWorkload = models;
    low.mUrgency = Urgency::Low;
    low.mNeverRepeat = aNeverRepeat;
    harness->HandleEvent(low);
    harness->HandleEvent(MakeUrgencyPlaceTasks(Urgency::Urgent, "urgent"));
    return harness;
  };
  aSection.It(
    "stops one low task to make room for an urgent one", [submitUrgent] {
      const std::unique_ptr<Harness> harness = submitUrgent(true, false);
      CPPUNIT_ASSERT_EQUAL(1, harness->StartCount("urgent"));
      CPPUNIT_ASSERT_EQUAL(std::size_t{ 8 }, harness->RunningCount());
      int preempted = 0;
      for (const protocol::TaskUpdate& update : harness->mUpdates) {
        preempted += update.mReason == TaskEndReason::Preempted ? 1 : 0;
      }
      CPPUNIT_ASSERT_EQUAL(1, preempted);
    });
  aSection.It("does not stop tasks of a workload that is not preemptible",
              [submitUrgent] {
                CPPUNIT_ASSERT_EQUAL(
                  0, submitUrgent(false, false)->StartCount("urgent"));
              });
  aSection.It(
    "does not stop tasks that must never be repeated", [submitUrgent] {
      CPPUNIT_ASSERT_EQUAL(0, submitUrgent(true, true)->StartCount("urgent"));
    });
}

void
TestWorkerChoice(Section& aSection)
{
  aSection.It("spreads a service over zones", [] {
    Harness harness(36);
    policy::CellPolicy policy;
    const WorkloadId dispatch{ "dispatch" };
    policy.mWorkloads[dispatch] = { .mWorkload = dispatch,
                                    .mWeights = { .mSpread = 2.0 },
                                    .mSpread = policy::Spread::Zone };
    harness.SetPolicy(policy);
    protocol::PlaceTasks placeTasks = MakePlaceTasks("service", 6);
    placeTasks.mWorkload = dispatch;
    placeTasks.mService = true;
    harness.HandleEvent(placeTasks);
    std::map<ZoneId, int> zones;
    for (std::size_t number = 0; number < 36; ++number) {
      zones[harness.Worker(number).Info().mZone] +=
        static_cast<int>(harness.Worker(number).Running().size());
    }
    for (const auto& [zone, count] : zones) {
      CPPUNIT_ASSERT_EQUAL(2, count);
    }
  });
  aSection.It("does not use workers that the request avoids", [] {
    Harness harness(2);
    protocol::PlaceTasks placeTasks = MakePlaceTasks("a", 8);
    placeTasks.mAvoid = { WorkerId{ "w-1" } };
    harness.HandleEvent(placeTasks);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 8 }, harness.Worker(0).Running().size());
  });
  aSection.It(
    "grants no more of a worker than the grantable share in the policy", [] {
      Harness harness(1);
      policy::CellPolicy policy;
      policy.mGrantablePerMille = 500;
      harness.SetPolicy(policy);
      harness.HandleEvent(MakePlaceTasks("a", 8));
      CPPUNIT_ASSERT_EQUAL(4, harness.StartCount("a"));
    });
}

} // namespace

void
QueueTests(Section& aRoot)
{
  aRoot.Describe("the queue order", TestQueueOrder);
  aRoot.Describe("preemption", TestPreemption);
  aRoot.Describe("the choice of a worker", TestWorkerChoice);
}

} // namespace oriolevane::placement
