#include <utility>

#include "cellnode/tests/ownersessionfixture.h"
#include "cellnode/tests/testgroups.h"

namespace oriolevane {

using cellnode::OwnerSessionFixture;
using testing::Section;
using namespace std::chrono_literals;

void
OwnerSessionTests(Section& aRoot)
{
  aRoot.Describe("a session that goes on", [](Section& aSection) {
    aSection.It("repeats a start order without an answer", [] {
      OwnerSessionFixture fixture;
      fixture.Start();
      fixture.LoseStartAnswer();
      CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, fixture.mStarts.size());
    });
  });
  // Guards against leases that end later than a successor counts on: it may
  // take over as soon as the release is recorded.
  aRoot.Describe("a session that releases the shard", [](Section& aSection) {
    aSection.It("repeats no start order before the release is recorded", [] {
      OwnerSessionFixture fixture;
      fixture.Start();
      fixture.mStoreSilent = true;
      fixture.mSession->Release();
      fixture.RunFor(20ms);
      fixture.LoseStartAnswer();
      fixture.RunFor(20ms);
      CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, fixture.mStarts.size());
    });
    aSection.It("reports the release", [] {
      OwnerSessionFixture fixture;
      fixture.Start();
      fixture.mSession->Release();
      fixture.RunFor(100ms);
      CPPUNIT_ASSERT_EQUAL(1, fixture.mReleased);
    });
  });
  // Guards against a session that acts, or ends the session after it, between
  // its end and its destruction.
  aRoot.Describe("a halted session", [](Section& aSection) {
    aSection.It("handles no answer of a worker", [] {
      OwnerSessionFixture fixture;
      fixture.Start();
      fixture.mSession->Halt();
      const int leases = fixture.mLeases;
      fixture.LoseStartAnswer();
      fixture.RunFor(50ms);
      CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, fixture.mStarts.size());
      CPPUNIT_ASSERT_EQUAL(leases, fixture.mLeases);
    });
    aSection.It("reports no release that the store confirms later", [] {
      OwnerSessionFixture fixture;
      fixture.Start();
      fixture.mStoreSilent = true;
      fixture.mSession->Release();
      fixture.RunFor(100ms);
      CPPUNIT_ASSERT(fixture.mDelayedCommit != nullptr);
      fixture.mSession->Halt();
      std::exchange(fixture.mDelayedCommit, nullptr)();
      fixture.RunFor(50ms);
      CPPUNIT_ASSERT_EQUAL(0, fixture.mReleased);
    });
  });
}

} // namespace oriolevane
