// Drives one coordinator by hand: collects its actions by kind and stands in
// for the journal.
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "coordination/coordinator.h"

namespace oriolevane::coordination::testing {

using namespace std::chrono_literals;

// A request that any story may start from: one repeatable task whose caller
// waits.
protocol::RequestSpec
MakeSpec(const std::string& aId);
std::shared_ptr<policy::CellPolicy>
MakePolicy();
protocol::ShardDigest
MakeDigest(std::uint32_t aShard, std::uint64_t aEpoch, std::uint64_t aSequence);

class Fixture
{
public:
  explicit Fixture(std::uint32_t aShards = 2, CoordinatorOptions aOptions = {});

  // Answers the reconcile queries with nothing held and sends digests.
  void Serve();
  void Handle(const CoordinatorEvent& aEvent);
  // Passes the time in ticks of 50 ms.
  void Pass(std::chrono::milliseconds aTime);
  std::uint64_t Submit(const protocol::RequestSpec& aSpec);
  std::uint64_t Cancel(const std::string& aId);
  std::uint64_t Ask(const std::string& aId, bool aExplain = false);
  void Update(const protocol::TaskKey& aTask,
              ShardId aShard,
              protocol::TaskState aState,
              protocol::TaskEndReason aReason = protocol::TaskEndReason::None,
              const std::string& aAnswer = {});
  void Answer(std::uint32_t aShard,
              std::uint64_t aEpoch,
              std::vector<protocol::HeldTask> aHeld = {},
              bool aComplete = true);
  // How many attempts were placed, however often each was sent.
  std::size_t Attempts() const;
  // Ends every task placed so far that has not ended yet.
  void EndAll(protocol::TaskState aState, const std::string& aAnswer = {});
  // Writes what was appended to the journal and says so.
  void Commit();
  // A new owner with the journal's records. The old one is gone.
  void Recover();

  // The replies to a call, normally one.
  std::vector<protocol::RequestStatus> Replies(std::uint64_t aCall) const;
  std::optional<protocol::RequestStatus> Reply(std::uint64_t aCall) const;
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
  bool mAutoCommit = true;
  std::shared_ptr<policy::CellPolicy> mPolicy = MakePolicy();
  std::vector<SendToPlacer> mSent;
  std::vector<AppendRecord> mAppended;
  std::vector<ReplyToCaller> mReplies;
  std::vector<ObjectiveSample> mSamples;
  std::vector<std::string> mJournal;
  std::uint64_t mNextCall = 1;

private:
  void Take(std::vector<CoordinatorAction> aActions);
  std::uint64_t Call(protocol::CallBody aBody);
};

} // namespace oriolevane::coordination::testing
