#include "cellnode/metricstext.h"

#include "cellnode/tests/stories.h"

namespace oriolevane {

using testing::Section;
using namespace cellnode;
using namespace std::chrono_literals;

void
MetricsTextStory(Section& aStory)
{
  aStory.Describe("the figures of an owner", [](Section& aSection) {
    aSection.It("tell what it owns and how old its last write is", [] {
      const std::string text = MetricsText({ .mOwnsShard = true,
                                             .mEpoch = Epoch(7),
                                             .mCounts = { .mOpenJobs = 3 },
                                             .mStoreAge = 1500ms });
      for (const char* line : { "oriolevane_owns_shard 1",
                                "oriolevane_epoch 7",
                                "oriolevane_open_jobs 3",
                                "oriolevane_store_age_seconds 1.5" }) {
        CPPUNIT_ASSERT(text.find(line) != std::string::npos);
      }
    });
  });
}

} // namespace oriolevane
