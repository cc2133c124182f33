#include "framework/testing/testgroup.h"
#include "node/nodecore.h"

namespace oriolevane::node {

using protocol::CallerCall;
using protocol::CallerReply;
using protocol::Outcome;
using std::chrono::milliseconds;
using testing::Section;

namespace {

const NodeId kSelf("n0");
const NodeId kFirst("n1");
const NodeId kSecond("n2");
const RequestId kRequest("r1");
constexpr std::uint64_t kCall = 7;

// A node whose one partition is owned by others.
struct Fixture
{
  TimePoint mNow{ std::chrono::hours(1) };
  NodeCore mCore{ { .mNode = kSelf,
                    .mIncarnation = Incarnation(1),
                    .mPartitionCount = 1,
                    .mShardCount = 1 } };

  std::vector<NodeAction> Handle(NodeEvent aEvent)
  {
    return mCore.Handle(std::move(aEvent), mNow);
  }
  void Owns(const NodeId& aNode, std::uint64_t aEpoch)
  {
    FromPeer(
      aNode,
      codec::Heartbeat{ .mNode = aNode,
                        .mPartitions = { { PartitionId(0), Epoch(aEpoch) } } });
  }
  std::vector<NodeAction> FromPeer(const NodeId& aNode,
                                   codec::PeerMessage aMessage)
  {
    return Handle(
      PeerMessageArrived{ aNode, Incarnation(2), std::move(aMessage) });
  }
  std::vector<NodeAction> Submit()
  {
    return Handle(
      GatewayCall{ { .mCall = kCall,
                     .mBody = protocol::SubmitCall{
                       { .mId = kRequest, .mCallerWaits = true } } } });
  }
  std::vector<NodeAction> Replied(const NodeId& aFrom,
                                  Outcome aOutcome,
                                  const RequestId& aRequest = kRequest)
  {
    return FromPeer(
      aFrom, CallerReply{ kCall, { .mId = aRequest, .mOutcome = aOutcome } });
  }
  std::vector<NodeAction> Wait(milliseconds aTime)
  {
    mNow += aTime;
    return Handle(Tick{});
  }
};

int
CallsTo(const std::vector<NodeAction>& aActions, const NodeId& aNode)
{
  int calls = 0;
  for (const NodeAction& action : aActions) {
    const auto* send = std::get_if<SendToPeer>(&action);
    calls += send != nullptr && send->mPeer == aNode &&
                 std::holds_alternative<CallerCall>(send->mMessage)
               ? 1
               : 0;
  }
  return calls;
}

std::optional<Outcome>
Answer(const std::vector<NodeAction>& aActions)
{
  for (const NodeAction& action : aActions) {
    if (const auto* reply = std::get_if<ReplyToGateway>(&action)) {
      return reply->mReply.mStatus.mOutcome;
    }
  }
  return std::nullopt;
}

void
ForwardedCalls(Section& aSection)
{
  aSection.It(
    "are sent again when no reply comes, and to a new owner at once", [] {
      Fixture fixture;
      fixture.Owns(kFirst, 1);
      CPPUNIT_ASSERT_EQUAL(1, CallsTo(fixture.Submit(), kFirst));
      CPPUNIT_ASSERT_EQUAL(1,
                           CallsTo(fixture.Wait(milliseconds(1'100)), kFirst));
      fixture.Owns(kSecond, 2);
      CPPUNIT_ASSERT_EQUAL(1, CallsTo(fixture.Wait(milliseconds(50)), kSecond));
    });
  aSection.It(
    "are not told 'not run' by an earlier owner, as the later one may have "
    "accepted its copy",
    [] {
      Fixture fixture;
      fixture.Owns(kFirst, 1);
      fixture.Submit();
      fixture.Owns(kSecond, 2);
      fixture.Wait(milliseconds(50));
      CPPUNIT_ASSERT(
        !Answer(fixture.Replied(kFirst, Outcome::NotRun)).has_value());
      CPPUNIT_ASSERT(Answer(fixture.Replied(kSecond, Outcome::Ran)) ==
                     Outcome::Ran);
    });
  aSection.It(
    "never get the reply to another request, such as one of an earlier process "
    "of this node",
    [] {
      Fixture fixture;
      fixture.Owns(kFirst, 1);
      fixture.Submit();
      CPPUNIT_ASSERT(
        !Answer(fixture.Replied(kFirst, Outcome::Ran, RequestId("another")))
           .has_value());
    });
  aSection.It("are answered once no owner has appeared for a while", [] {
    Fixture fixture;
    CPPUNIT_ASSERT(!Answer(fixture.Submit()).has_value());
    CPPUNIT_ASSERT(Answer(fixture.Wait(milliseconds(3'100))) ==
                   Outcome::NotKnownYet);
  });
}

// The first reply to a call from a peer; a default one when there is none.
protocol::RequestStatus
ReplyToPeer(Fixture& aFixture, const CallerCall& aCall)
{
  for (const NodeAction& action : aFixture.FromPeer(kFirst, aCall)) {
    const auto* send = std::get_if<SendToPeer>(&action);
    if (send != nullptr &&
        std::holds_alternative<CallerReply>(send->mMessage)) {
      return std::get<CallerReply>(send->mMessage).mStatus;
    }
  }
  return {};
}

void
RefusedCalls(Section& aSection)
{
  aSection.It(
    "are refused again when a second copy arrives, whatever has changed since",
    [] {
      Fixture fixture;
      fixture.Handle(
        PartitionGained{ .mPartition = PartitionId(0), .mEpoch = Epoch(1) });
      fixture.Handle(ShardGained{ ShardId(0), Epoch(1) });
      fixture.Wait(milliseconds(1'000));
      const CallerCall call{ .mCall = kCall,
                             .mBody = protocol::SubmitCall{
                               { .mId = kRequest, .mTeam = TeamId("t") } } };
      auto policy = std::make_shared<policy::CellPolicy>();
      policy->mVersion = ConfigurationVersion(1);
      fixture.Handle(coordination::PolicyChanged{ policy });
      const protocol::RequestStatus first = ReplyToPeer(fixture, call);
      CPPUNIT_ASSERT(first.mOutcome == Outcome::NotRun);
      auto newer = std::make_shared<policy::CellPolicy>(*policy);
      newer->mVersion = ConfigurationVersion(2);
      newer->mTeams[TeamId("t")] = {};
      newer->mWorkloads[WorkloadId()] = {};
      fixture.Handle(coordination::PolicyChanged{ newer });
      CPPUNIT_ASSERT(ReplyToPeer(fixture, call) == first);
    });
}

} // namespace

void
NodeCoreStory(Section& aStory)
{
  aStory.Describe("forwarded calls", ForwardedCalls);
  aStory.Describe("refused calls", RefusedCalls);
}

} // namespace oriolevane::node
