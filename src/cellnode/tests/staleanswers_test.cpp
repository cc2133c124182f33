#include "cellnode/cellnode.h"
#include "cellnode/internal/peerlinks.h"
#include "cellnode/internal/peermessages.h"
#include "cellnode/tests/ownersessionfixture.h"
#include "cellnode/tests/testgroups.h"

namespace oriolevane {

using testing::Section;
using namespace cellnode;
using namespace std::chrono_literals;

namespace {

// An owner whose queue needs the approval of the policy service, in one term
// after the other.
struct TermsFixture : OwnerSessionFixture
{
  TermsFixture()
  {
    mQueue.mAdvice = jobs::AdvicePolicy{ .mDecisionTime = 10ms,
                                         .mTimePerWorker = 1ms,
                                         .mValidity = 5000ms };
  }
  // Returns the first query of a term in which the store has the job aJob.
  SentAdviceQuery FirstQueryOfTerm(Epoch aEpoch, const std::string& aJob)
  {
    mJobId = aJob;
    mQueries.clear();
    BeginTerm(aEpoch);
    RunUntil([this] { return !mQueries.empty(); });
    CPPUNIT_ASSERT(!mQueries.empty());
    return mQueries.front();
  }
  void Answer(QueryId aId, const jobs::StepKey& aStep)
  {
    mSession->OnAdvice(
      aId,
      { .mStep = aStep,
        .mAnswered = true,
        .mAsked = {},
        .mApproved = { { .mWorker = WorkerId("w"), .mTicket = "ticket" } },
        .mValidity = 5000ms });
  }
};

void
DescribeAdvice(Section& aRoot)
{
  aRoot.Describe(
    "an owner that lost the shard and owns it again", [](Section& aSection) {
      // Guards against review/6: the answer was taken for that to the query
      // with the same number, whose step was never asked about again.
      aSection.It("ignores the answer to a query of its former term", [] {
        TermsFixture fixture;
        const SentAdviceQuery former =
          fixture.FirstQueryOfTerm(Epoch(2), "former");
        const SentAdviceQuery present =
          fixture.FirstQueryOfTerm(Epoch(3), "present");
        fixture.Answer(former.mId, former.mQuery.mStep);
        fixture.Answer(present.mId, present.mQuery.mStep);
        fixture.RunUntil([&fixture] { return !fixture.mStarts.empty(); });
        CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, fixture.mStarts.size());
        CPPUNIT_ASSERT(fixture.mStaleAnswers ==
                       std::vector{ PeerRequest::Advice });
      });
    });
  aRoot.Describe("an answer about another step", [](Section& aSection) {
    aSection.It("counts as none, and the step is asked about again", [] {
      TermsFixture fixture;
      const SentAdviceQuery first = fixture.FirstQueryOfTerm(Epoch(2), "job");
      fixture.Answer(first.mId, { .mJob = jobs::JobId("other") });
      fixture.RunUntil([&fixture] { return fixture.mQueries.size() > 1; });
      CPPUNIT_ASSERT(fixture.mQueries.at(1).mQuery.mStep == first.mQuery.mStep);
    });
  });
}

const NodeId kNode("node");
const NodeId kOwner("owner");
const eventloop::SocketAddress kNodeAddress{ .mHost = "127.0.0.1",
                                             .mPort = 17831 };

// A node that takes requests of callers and passes them on to an owner, whose
// answers the test gives. The store holds a configuration and nothing else.
class RestartingNode
{
public:
  RestartingNode()
    : mOwner(mLoop,
             { .mOnHello = [](const NodeId&, const cellwire::HelloT&) {},
               .mOnMessage =
                 [this](const NodeId&, const cellwire::MessageT& aMessage) {
                   if (const auto* call = aMessage.body.AsCallerRequest()) {
                     mCalls.push_back(call->id);
                   }
                 },
               .mOnClosed = [](const NodeId&) {} })
  {
    cellwire::HelloT hello;
    hello.node = kOwner.mValue;
    hello.incarnation = 1;
    hello.epoch = 5;
    hello.owns = true;
    mOwner.SetHello(std::move(hello));
  }
  RestartingNode(const RestartingNode&) = delete;
  RestartingNode& operator=(const RestartingNode&) = delete;
  // Lets the loop close what is open.
  ~RestartingNode()
  {
    mNode.reset();
    RunFor(10ms);
  }

  // Starts a process of the node, in place of the one before.
  void Start(Incarnation aIncarnation)
  {
    mNode.reset();
    RunFor(10ms);
    mNode = std::make_unique<CellNode>(
      mLoop,
      NodeOptions{ .mNode = kNode,
                   .mIncarnation = aIncarnation,
                   .mPeerAddress = kNodeAddress.ToText() },
      MakeStore(),
      UpstreamHooks(),
      MakeFormats());
    CPPUNIT_ASSERT(mNode->Start().ok());
    mOwner.Connect(kNodeAddress);
    RunUntil([this] { return mNode->IsReady(); });
  }
  // Sends a request of a caller, and returns its id at the owner.
  std::uint64_t Send(CallerVerb aVerb)
  {
    const std::size_t before = mCalls.size();
    mNode->Handle({ .mVerb = aVerb }, [this](const CallerAnswer& aAnswer) {
      mAnswers.push_back(aAnswer.mKind);
    });
    RunUntil([this, before] { return mCalls.size() > before; });
    return mCalls.at(before);
  }
  void Answer(std::uint64_t aCall, CallerAnswerKind aKind)
  {
    mOwner.Send(kNode, ToWire(aCall, { .mKind = aKind }));
    RunFor(50ms);
  }
  // The answers that callers have got.
  const std::vector<CallerAnswerKind>& Answers() const { return mAnswers; }
  // The stale answers that the node has counted.
  double StaleAnswers() const
  {
    double count = 0;
    for (const auto& family : mNode->Metrics().Collect()) {
      for (const auto& metric : family.metric) {
        count += family.name == "oriolevane_stale_answers_total"
                   ? metric.counter.value
                   : 0;
      }
    }
    return count;
  }

private:
  static ExternalFormats MakeFormats()
  {
    return { .mConfigurationRow = { "configuration", "", "newest" },
             .mWorkerTable = "registry",
             .mDecodeConfiguration =
               [](std::string_view) {
                 return jobs::CellConfiguration{ .mVersion =
                                                   ConfigurationVersion(1) };
               },
             .mDecodeWorker = {},
             .mDecodeJob = {} };
  }
  RowStoreHooks MakeStore()
  {
    return { .mCommit = [](const RowTransaction&, Duration, const auto&) {},
             .mRead =
               [this](const RowQuery& aQuery, Duration, const auto& aDone) {
                 if (aQuery.mTable != "configuration") {
                   return;
                 }
                 RowPage page;
                 page.mRows.push_back(
                   { .mKey = { "configuration", "", "newest" },
                     .mValue = "",
                     .mVersion = RowVersion(1) });
                 mLoop.Post([page, aDone] { aDone(page); });
               },
             .mFeed = [](const FeedQuery&, Duration, const auto&) {} };
  }
  void RunFor(Duration aTime)
  {
    const auto timer = mLoop.MakeTimer([this] { mLoop.Stop(); });
    timer->StartAfter(aTime);
    mLoop.Run();
  }
  void RunUntil(const std::function<bool()>& aCondition)
  {
    for (int attempt = 0; attempt < 100 && !aCondition(); ++attempt) {
      RunFor(20ms);
    }
    CPPUNIT_ASSERT(aCondition());
  }

  eventloop::EventLoop mLoop;
  PeerLinks mOwner;
  std::unique_ptr<CellNode> mNode;
  // The ids of the requests that the owner has received.
  std::vector<std::uint64_t> mCalls;
  std::vector<CallerAnswerKind> mAnswers;
};

void
DescribeCallerAnswers(Section& aRoot)
{
  aRoot.Describe("a node that has restarted", [](Section& aSection) {
    // Guards against review/8: a submission was acknowledged by the answer to
    // another one, and its job was lost. A state or a refusal of another
    // request would be as wrong.
    for (const CallerVerb verb :
         { CallerVerb::Submit, CallerVerb::Query, CallerVerb::Cancel }) {
      aSection.It(
        fmt::format("passes no answer to its former process to a caller ({})",
                    static_cast<int>(verb)),
        [verb] {
          RestartingNode node;
          node.Start(Incarnation(1000));
          const std::uint64_t former = node.Send(CallerVerb::Submit);
          node.Start(Incarnation(1001));
          const std::uint64_t present = node.Send(verb);
          node.Answer(former, CallerAnswerKind::Accepted);
          CPPUNIT_ASSERT(node.Answers().empty());
          CPPUNIT_ASSERT_EQUAL(1.0, node.StaleAnswers());
          node.Answer(present, CallerAnswerKind::Refused);
          CPPUNIT_ASSERT(node.Answers() ==
                         std::vector{ CallerAnswerKind::Refused });
        });
    }
  });
}

} // namespace

void
StaleAnswerTests(Section& aRoot)
{
  DescribeAdvice(aRoot);
  DescribeCallerAnswers(aRoot);
}

} // namespace oriolevane
