#include "cellnode/queuerouter.h"
#include "cellnode/tests/testgroups.h"

namespace oriolevane {

using testing::Section;
using namespace cellnode;

namespace {

jobs::CellConfiguration
Configuration()
{
  jobs::CellConfiguration configuration;
  for (const char* prefix : { "/a/", "/a/b/" }) {
    jobs::QueuePolicy queue;
    queue.mName = jobs::QueueName(prefix);
    queue.mHost = "host";
    queue.mPathPrefix = prefix;
    configuration.mQueues.push_back(queue);
  }
  return configuration;
}

} // namespace

void
QueueRouterTests(Section& aRoot)
{
  aRoot.Describe("a path", [](Section& aSection) {
    aSection.It("belongs to the queue with the longest prefix", [] {
      const jobs::CellConfiguration configuration = Configuration();
      const QueueMatch match = MatchQueue(configuration, "host", "/a/b/x?y=1");
      CPPUNIT_ASSERT_EQUAL(std::string("/a/b/"), match.mQueue->mPathPrefix);
      CPPUNIT_ASSERT_EQUAL(std::string("x"), match.mRest);
    });
    aSection.It("belongs to no queue of another host", [] {
      CPPUNIT_ASSERT(MatchQueue(Configuration(), "other", "/a/x").mQueue ==
                     nullptr);
    });
  });
  aRoot.Describe("a job id", [](Section& aSection) {
    aSection.It("has 16 hexadecimal digits", [] {
      CPPUNIT_ASSERT(IsJobId("5c0e7a21d94b36f8"));
      CPPUNIT_ASSERT(!IsJobId("5c0e7a21d94b36f"));
      CPPUNIT_ASSERT(!IsJobId("5c0e7a21d94b36fx"));
      CPPUNIT_ASSERT(!IsJobId(""));
    });
  });
}

} // namespace oriolevane
