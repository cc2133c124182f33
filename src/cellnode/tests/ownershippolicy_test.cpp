#include "cellnode/ownershippolicy.h"
#include "cellnode/tests/testgroups.h"

namespace oriolevane {

using testing::Section;
using namespace cellnode;
using namespace std::chrono_literals;

namespace {

const TimePoint kBegin{ 1000s };
const OwnerRow kRow{ .mEpoch = Epoch(5), .mNode = NodeId("owner") };

OwnershipPolicy
Policy(double aFitness = 1.0)
{
  return OwnershipPolicy({ .mNode = NodeId("self"), .mFitness = aFitness });
}

// Reads the same row every 100 ms and returns the time until the policy claims
// the shard; 20 s when it does not.
Duration
TimeToClaim(OwnershipPolicy& aPolicy, const OwnerRow& aRow, TimePoint aFrom)
{
  for (TimePoint now = aFrom; now < aFrom + 20s; now += 10ms) {
    if ((now - aFrom) % 100ms == Duration::zero()) {
      aPolicy.OnRowRead(aRow, RowVersion(9), now);
    }
    if (aPolicy.VersionToClaim(now).has_value()) {
      return now - aFrom;
    }
  }
  return 20s;
}

void
TestLiveOwner(Section& aRoot)
{
  aRoot.Describe("an owner that sends heartbeats", [](Section& aSection) {
    aSection.It("is not replaced, and its row is not read", [] {
      OwnershipPolicy policy = Policy();
      // Owners send a heartbeat each 200 ms, and renew the row each 300 ms.
      for (TimePoint now = kBegin; now < kBegin + 5s; now += 10ms) {
        if ((now - kBegin) % 200ms == Duration::zero()) {
          policy.OnOwnerContact(Epoch(5), 300ms, now);
        }
        CPPUNIT_ASSERT(!policy.ShouldReadRow(now));
        CPPUNIT_ASSERT(!policy.VersionToClaim(now).has_value());
      }
    });
    // Guards against the replacement of an owner whose heartbeats are late.
    aSection.It("is not replaced after a silence of less than 800 ms", [] {
      OwnershipPolicy policy = Policy();
      policy.OnOwnerContact(Epoch(5), 300ms, kBegin);
      for (TimePoint now = kBegin; now < kBegin + 800ms; now += 10ms) {
        if (policy.ShouldReadRow(now)) {
          policy.OnRowRead(kRow, RowVersion(9), now);
        }
        CPPUNIT_ASSERT(!policy.VersionToClaim(now).has_value());
      }
    });
    aSection.It("is suspected when it cannot write to the store", [] {
      OwnershipPolicy policy = Policy();
      policy.OnOwnerContact(Epoch(5), 2000ms, kBegin);
      CPPUNIT_ASSERT(policy.ShouldReadRow(kBegin));
    });
  });
}

void
TestSilentOwner(Section& aRoot)
{
  aRoot.Describe(
    "an owner that stops sending heartbeats", [](Section& aSection) {
      aSection.It("is replaced within two seconds", [] {
        OwnershipPolicy policy = Policy();
        policy.OnOwnerContact(Epoch(5), 100ms, kBegin);
        const TimePoint suspectedAt = kBegin + 800ms;
        CPPUNIT_ASSERT(TimeToClaim(policy, kRow, suspectedAt) < 1200ms);
      });
      // Guards against an outage that is longer than needed, because the row is
      // observed only after the owner is suspected.
      aSection.It("is replaced soon after it is suspected", [] {
        OwnershipPolicy policy = Policy();
        policy.OnOwnerContact(Epoch(5), 100ms, kBegin);
        TimePoint now = kBegin;
        while (!policy.VersionToClaim(now).has_value()) {
          CPPUNIT_ASSERT(now < kBegin + 1000ms);
          now += 10ms;
          if (policy.ShouldReadRow(now)) {
            policy.OnRowRead(kRow, RowVersion(9), now);
          }
        }
        CPPUNIT_ASSERT(now >= kBegin + 800ms);
      });
      // Guards against owners on thin links that replace each other before one
      // of them has loaded the shard.
      aSection.It("is given more time for its first write", [] {
        OwnerRow row = kRow;
        row.mSequence = 0;
        OwnershipPolicy policy = Policy();
        const Duration time = TimeToClaim(policy, row, kBegin);
        CPPUNIT_ASSERT(time >= 1100ms && time < 2s);
      });
      aSection.It("is given several round trips of a slow store", [] {
        OwnershipPolicy policy = Policy();
        policy.OnRowRead(kRow, RowVersion(9), kBegin, 600ms);
        policy.OnRowRead(kRow, RowVersion(9), kBegin + 2000ms, 600ms);
        CPPUNIT_ASSERT(!policy.VersionToClaim(kBegin + 2000ms).has_value());
        policy.OnRowRead(kRow, RowVersion(9), kBegin + 4000ms, 600ms);
        CPPUNIT_ASSERT(policy.VersionToClaim(kBegin + 4000ms).has_value());
      });
      aSection.It("is not replaced while its row changes", [] {
        OwnershipPolicy policy = Policy();
        for (int read = 0; read < 50; ++read) {
          const TimePoint now = kBegin + read * 300ms;
          policy.OnRowRead(kRow, RowVersion(read + 1), now);
          CPPUNIT_ASSERT(!policy.VersionToClaim(now + 290ms).has_value());
        }
      });
      aSection.It("is not replaced based on a row read before an outage", [] {
        OwnershipPolicy policy = Policy();
        policy.OnRowRead(kRow, RowVersion(9), kBegin);
        policy.OnReadFailed();
        CPPUNIT_ASSERT(!policy.VersionToClaim(kBegin + 5s).has_value());
        policy.OnRowRead(kRow, RowVersion(9), kBegin + 5s);
        CPPUNIT_ASSERT(!policy.VersionToClaim(kBegin + 5s).has_value());
      });
      aSection.It("is not replaced based on a row read long before", [] {
        OwnershipPolicy policy = Policy();
        policy.OnRowRead(kRow, RowVersion(9), kBegin);
        policy.OnOwnerContact(Epoch(5), 100ms, kBegin + 20s);
        policy.OnOwnerDisconnected(kBegin + 21s);
        CPPUNIT_ASSERT(!policy.VersionToClaim(kBegin + 21s).has_value());
      });
    });
}

void
TestFormerProcess(Section& aRoot)
{
  aRoot.Describe("an owner row of an earlier process", [](Section& aSection) {
    OwnerRow row = kRow;
    row.mNode = NodeId("self");
    row.mIncarnation = Incarnation(1);
    const auto restarted = [](double aFitness) {
      return OwnershipPolicy({ .mNode = NodeId("self"),
                               .mIncarnation = Incarnation(2),
                               .mFitness = aFitness });
    };
    // Guards against an outage that lasts longer than needed after all nodes
    // lost power at the same time.
    aSection.It("is replaced at once by its own node", [row, restarted] {
      OwnershipPolicy policy = restarted(1.0);
      CPPUNIT_ASSERT(TimeToClaim(policy, row, kBegin) == Duration::zero());
    });
    aSection.It("is left to fitter nodes by an unfit one", [row, restarted] {
      OwnershipPolicy policy = restarted(0.2);
      CPPUNIT_ASSERT(TimeToClaim(policy, row, kBegin) >= 500ms);
    });
    aSection.It(
      "is replaced at once by a node as fit as any", [row, restarted] {
        OwnerRow small = row;
        small.mBestFitness = 0.5;
        OwnershipPolicy policy = restarted(0.5);
        CPPUNIT_ASSERT(TimeToClaim(policy, small, kBegin) == Duration::zero());
      });
    // Guards against nodes that replace each other while each is busy with its
    // recovery.
    aSection.It("gives its node time before others of its fitness follow", [] {
      OwnerRow small = kRow;
      small.mBestFitness = 0.2;
      OwnershipPolicy policy = Policy(0.2);
      CPPUNIT_ASSERT(TimeToClaim(policy, small, kBegin) >= 900ms);
    });
    aSection.It("is respected once another node has taken over", [restarted] {
      OwnershipPolicy policy = restarted(1.0);
      CPPUNIT_ASSERT(TimeToClaim(policy, kRow, kBegin) >= 450ms);
    });
  });
}

// Returns the time until the policy claims the shard from an owner of that
// epoch that falls silent at aSilentAt.
Duration
TimeToReplaceSilentOwner(OwnershipPolicy& aPolicy,
                         Epoch aEpoch,
                         TimePoint aSilentAt)
{
  aPolicy.OnOwnerContact(aEpoch, 100ms, aSilentAt);
  const OwnerRow row{ .mEpoch = aEpoch, .mNode = NodeId("owner") };
  return TimeToClaim(aPolicy, row, aSilentAt);
}

// Guards against owners that replace each other while each is busy with its
// recovery.
void
TestOwnersInQuickSuccession(Section& aRoot)
{
  aRoot.Describe(
    "owners that are replaced soon, while connected", [](Section& aSection) {
      aSection.It("give their successors more time each", [] {
        OwnershipPolicy policy = Policy();
        TimePoint now = kBegin;
        Duration before{};
        for (const std::uint64_t epoch : { 5, 6, 7 }) {
          const Duration taken =
            TimeToReplaceSilentOwner(policy, Epoch(epoch), now);
          CPPUNIT_ASSERT(taken >= 2 * before);
          before = taken;
          now += taken + 500ms;
        }
        CPPUNIT_ASSERT(TimeToReplaceSilentOwner(policy, Epoch(8), now) < 5s);
      });
      aSection.It("no longer do once an owner has lasted", [] {
        OwnershipPolicy policy = Policy();
        policy.OnOwnerContact(Epoch(5), 100ms, kBegin);
        policy.OnOwnerContact(Epoch(6), 100ms, kBegin + 1s);
        CPPUNIT_ASSERT(
          TimeToReplaceSilentOwner(policy, Epoch(7), kBegin + 10s) < 1200ms);
      });
      // Guards against a later failure that is noticed late.
      aSection.It("do not slow down the replacement of one that lasted", [] {
        OwnershipPolicy policy = Policy();
        policy.OnOwnerContact(Epoch(5), 100ms, kBegin);
        policy.OnOwnerContact(Epoch(6), 100ms, kBegin + 1s);
        policy.OnOwnerContact(Epoch(7), 100ms, kBegin + 2s);
        CPPUNIT_ASSERT(
          TimeToReplaceSilentOwner(policy, Epoch(7), kBegin + 60s) < 1200ms);
      });
      aSection.It("leave a killed successor to be replaced at once", [] {
        OwnershipPolicy policy = Policy();
        policy.OnOwnerContact(Epoch(5), 100ms, kBegin);
        policy.OnOwnerContact(Epoch(6), 100ms, kBegin + 1s);
        policy.OnOwnerDisconnected(kBegin + 2s);
        const OwnerRow row{ .mEpoch = Epoch(6), .mNode = NodeId("owner") };
        CPPUNIT_ASSERT(TimeToClaim(policy, row, kBegin + 2s) < 700ms);
      });
    });
}

void
TestStoppedOwner(Section& aRoot)
{
  aRoot.Describe("an owner that has stopped", [](Section& aSection) {
    aSection.It("is replaced within 200 ms when it released the shard", [] {
      OwnershipPolicy policy = Policy();
      OwnerRow released = kRow;
      released.mReleased = true;
      CPPUNIT_ASSERT(TimeToClaim(policy, released, kBegin) <= 200ms);
    });
    aSection.It("is replaced at once by the node that it handed over to", [] {
      OwnershipPolicy policy = Policy();
      OwnerRow released = kRow;
      released.mReleased = true;
      policy.OnHandover(Epoch(5));
      CPPUNIT_ASSERT(TimeToClaim(policy, released, kBegin) == Duration::zero());
    });
    aSection.It("is replaced when its process denies owning the shard", [] {
      OwnershipPolicy policy = Policy();
      policy.OnOwnershipDenied(Epoch(5));
      CPPUNIT_ASSERT(TimeToClaim(policy, kRow, kBegin) <= 200ms);
    });
  });
}

void
TestSmallHost(Section& aRoot)
{
  aRoot.Describe("a host that is less fit than others", [](Section& aSection) {
    aSection.It("claims the shard after them, but within two seconds", [] {
      OwnershipPolicy small = Policy(0.05);
      small.SetBestFitness(1.0);
      OwnershipPolicy large = Policy(1.0);
      large.SetBestFitness(1.0);
      const Duration first = TimeToClaim(large, kRow, kBegin);
      const Duration second = TimeToClaim(small, kRow, kBegin);
      CPPUNIT_ASSERT(first + 300ms < second);
      CPPUNIT_ASSERT(second < 2s);
    });
  });
}

} // namespace

void
OwnershipPolicyTests(Section& aRoot)
{
  TestLiveOwner(aRoot);
  TestSilentOwner(aRoot);
  TestFormerProcess(aRoot);
  TestOwnersInQuickSuccession(aRoot);
  TestStoppedOwner(aRoot);
  TestSmallHost(aRoot);
}

} // namespace oriolevane
