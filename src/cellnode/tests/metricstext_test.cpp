#include "cellnode/metricstext.h"

#include "cellnode/tests/testgroups.h"

namespace oriolevane {

using testing::Section;
using namespace cellnode;
using namespace std::chrono_literals;

void
MetricsTextTests(Section& aRoot)
{
  aRoot.Describe("the metrics of an owner", [](Section& aSection) {
    aSection.It(
      "show its epoch, its open jobs and the age of its last write", [] {
        const std::string text =
          MetricsText({ .mOwnsShard = true,
                        .mEpoch = Epoch(7),
                        .mConfigurationAge = 250ms,
                        .mCounts = { .mOpenJobs = 3,
                                     .mUncertainRuns = 6,
                                     .mLongRunningWaits = { 2, 4s },
                                     .mWorkerTrials = { 5, 3, 60s },
                                     .mIsolationWaits = { 4, 2s } },
                        .mAdviceBacklog = { 70, 5s },
                        .mStoreAge = 1500ms },
                      NodeMetrics());
        for (const char* line : { "oriolevane_owns_shard 1",
                                  "oriolevane_epoch 7",
                                  "oriolevane_open_jobs 3",
                                  "oriolevane_uncertain_runs 6",
                                  "oriolevane_advice_queries_waiting 70",
                                  "oriolevane_advice_wait_seconds 5",
                                  "oriolevane_long_running_steps_waiting 2",
                                  "oriolevane_long_running_wait_seconds 4",
                                  "oriolevane_workers_on_trial 5",
                                  "oriolevane_worker_trials_full 3",
                                  "oriolevane_worker_trial_seconds 60",
                                  "oriolevane_isolated_steps_waiting 4",
                                  "oriolevane_isolation_wait_seconds 2",
                                  "oriolevane_configuration_age_seconds 0.25",
                                  "oriolevane_store_age_seconds 1.5" }) {
          CPPUNIT_ASSERT(text.find(line) != std::string::npos);
        }
      });
  });
  aRoot.Describe("the metrics of teams", [](Section& aSection) {
    aSection.It("name 200 teams, and add the others up", [] {
      // Guards against label values that grow with the configuration.
      NodeStatus status;
      for (int team = 0; team < 203; ++team) {
        status.mCounts.mTeams.push_back(
          { .mTeam = TeamId("team" + std::to_string(1000 + team)),
            .mRunning = { .mMilliCores = 100 },
            .mWaitingJobs = 2,
            .mRefused = { { jobs::RefusalReason::GuaranteedWorkWaits, 4 } } });
      }
      const std::string text = MetricsText(status, NodeMetrics());
      for (const char* line :
           { "oriolevane_team_running_millicores{team=\"team1199\"} 100",
             "oriolevane_team_running_millicores{team=\"other\"} 300",
             "oriolevane_team_waiting_jobs{team=\"other\"} 6",
             "oriolevane_team_refused_total{team=\"team1000\",reason="
             "\"guaranteed_work_waits\"} 4" }) {
        CPPUNIT_ASSERT_MESSAGE(line, text.find(line) != std::string::npos);
      }
      CPPUNIT_ASSERT(text.find("team1200") == std::string::npos);
    });
  });
  aRoot.Describe("the metrics of a node", [](Section& aSection) {
    aSection.It("count answers by kind and times by stage", [] {
      NodeMetrics metrics;
      metrics.CountAnswer(CallerAnswerKind::Refused);
      metrics.CountAnswer(CallerAnswerKind::RateLimited);
      metrics.CountOwnership();
      metrics.Observe(Stage::Record, 14ms);
      metrics.Observe(Stage::Job, 60s);
      const std::string text = MetricsText({}, metrics);
      for (const char* line :
           { "oriolevane_answers_total{kind=\"refused\"} 1",
             "oriolevane_answers_total{kind=\"accepted\"} 0",
             "oriolevane_answers_total{kind=\"rate_limited\"} 1",
             "oriolevane_ownerships_total 1",
             "oriolevane_stage_seconds_bucket{stage=\"record\",le=\"0.005\"} 0",
             "oriolevane_stage_seconds_bucket{stage=\"record\",le=\"0.02\"} 1",
             "oriolevane_stage_seconds_bucket{stage=\"job\",le=\"30\"} 0",
             "oriolevane_stage_seconds_count{stage=\"job\"} 1" }) {
        CPPUNIT_ASSERT_MESSAGE(line, text.find(line) != std::string::npos);
      }
    });
  });
}

} // namespace oriolevane
