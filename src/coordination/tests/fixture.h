// Drives one coordinator event by event, collects its actions by kind and
// simulates the journal.
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "coordination/coordinator.h"

namespace oriolevane::coordination::testing {

using namespace std::chrono_literals;

// Returns a request with one repeatable task whose caller waits; tests change
// what they need.
protocol::RequestSpec
MakeSpec(const std::string& aId);
// Returns a policy that has the workload and the team of MakeSpec.
std::shared_ptr<policy::CellPolicy>
MakePolicy();
// Returns the digest of a ready shard with six empty workers of 8 slots each.
protocol::ShardDigest
MakeDigest(std::uint32_t aShard, std::uint64_t aEpoch, std::uint64_t aSequence);

// Holds a coordinator, its simulated journal and the actions it has returned.
class Fixture
{
public:
  explicit Fixture(std::uint32_t aShards = 2, CoordinatorOptions aOptions = {});

  // Brings the coordinator into service: each shard sends a digest and answers
  // its reconcile query with no tasks held.
  void StartServing();
  // Passes an event to the coordinator and collects the actions it returns.
  void Handle(const CoordinatorEvent& aEvent);
  // Advances the clock in steps of 50 ms, with a tick event at each.
  void AdvanceTime(std::chrono::milliseconds aTime);
  // Submit, Cancel and QueryStatus send a caller's call and return its number.
  std::uint64_t Submit(const protocol::RequestSpec& aSpec);
  std::uint64_t Cancel(const std::string& aId);
  std::uint64_t QueryStatus(const std::string& aId, bool aExplain = false);
  // Sends a task update from the shard's placer of epoch mShardEpoch.
  void SendTaskUpdate(
    const protocol::TaskKey& aTask,
    ShardId aShard,
    protocol::TaskState aState,
    protocol::TaskEndReason aReason = protocol::TaskEndReason::None,
    const std::string& aAnswer = {});
  // Answers the shard's reconcile query with the tasks in aHeld.
  void AnswerReconcile(std::uint32_t aShard,
                       std::uint64_t aEpoch,
                       std::vector<protocol::HeldTask> aHeld = {},
                       bool aComplete = true);
  // Returns how many different attempts were placed. One that was sent several
  // times counts once.
  std::size_t PlacedAttempts() const;
  // Sends an update with aState for every task placed so far.
  void ReportAll(protocol::TaskState aState, const std::string& aAnswer = {});
  // Writes the appended records to the journal and confirms them to the
  // coordinator.
  void Commit();
  // Replaces the coordinator by a new owner of the next epoch, which replays
  // the journal.
  void Recover();

  // Returns the replies to a call, normally one.
  std::vector<protocol::RequestStatus> Replies(std::uint64_t aCall) const;
  // Returns the reply to a call, if there is one. Fails the test when there are
  // several.
  std::optional<protocol::RequestStatus> Reply(std::uint64_t aCall) const;
  // Returns the messages of one type that were sent to placers, in order.
  template<typename Message>
  std::vector<Message> Sent() const
  {
    std::vector<Message> found;
    for (const SendToPlacer& sent : mSent) {
      if (const auto* message = std::get_if<Message>(&sent.mMessage)) {
        found.push_back(*message);
      }
    }
    return found;
  }

  CoordinatorOptions mOptions;
  std::unique_ptr<Coordinator> mCoordinator;
  TimePoint mNow{ std::chrono::hours(1) };
  std::uint64_t mShardEpoch = 1;
  // Whether appended records are committed at once.
  bool mAutoCommit = true;
  std::shared_ptr<policy::CellPolicy> mPolicy = MakePolicy();
  std::vector<SendToPlacer> mSent;
  std::vector<AppendRecord> mAppended;
  std::vector<ReplyToCaller> mReplies;
  std::vector<ObjectiveSample> mSamples;
  std::vector<std::string> mJournal;
  std::uint64_t mNextCall = 1;

private:
  void CollectActions(std::vector<CoordinatorAction> aActions);
  std::uint64_t MakeCall(protocol::CallBody aBody);
};

} // namespace oriolevane::coordination::testing
