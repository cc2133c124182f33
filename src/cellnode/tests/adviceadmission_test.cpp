#include "cellnode/adviceadmission.h"

#include <set>
#include <string>

#include "cellnode/tests/testgroups.h"

namespace oriolevane {

using testing::Section;
using namespace cellnode;
using namespace std::chrono_literals;

namespace {

const jobs::JobId kJob("5c0e7a21d94b36f8");

jobs::QueuePolicy
QueueWithAdvice()
{
  jobs::QueuePolicy queue;
  queue.mAdvice = jobs::AdvicePolicy{ .mDecisionTime = 400ms,
                                      .mTimePerWorker = 6ms,
                                      .mValidity = 2500ms };
  return queue;
}

} // namespace

// Guards against review/10: jobs were accepted although the policy service
// could not be asked about them in time, and stood still with workers free.
void
AdviceAdmissionTests(Section& aRoot)
{
  aRoot.Describe("a new job", [](Section& aSection) {
    aSection.It("is accepted while queries wait for some seconds", [] {
      CPPUNIT_ASSERT(!RefusalForAdvice(QueueWithAdvice(), kJob, 8s));
    });
    aSection.It("is refused once they would wait for longer", [] {
      const auto refusal = RefusalForAdvice(QueueWithAdvice(), kJob, 11s);
      CPPUNIT_ASSERT(refusal.value().mKind == CallerAnswerKind::Refused);
      CPPUNIT_ASSERT(refusal->mRetryAfter >= 3s && refusal->mRetryAfter < 5s);
    });
    aSection.It("is accepted by a queue that needs no advice",
                [] { CPPUNIT_ASSERT(!RefusalForAdvice({}, kJob, 60s)); });
  });
  aRoot.Describe("refused callers", [](Section& aSection) {
    aSection.It("come back at different times", [] {
      std::set<std::chrono::milliseconds> times;
      for (int job = 0; job < 20; ++job) {
        const jobs::JobId id(std::to_string(job));
        times.insert(RefusalForAdvice(QueueWithAdvice(), id, 9s)->mRetryAfter);
      }
      CPPUNIT_ASSERT(times.size() > 10);
    });
  });
}

} // namespace oriolevane
