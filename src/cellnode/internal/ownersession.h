// Does the work of the shard's owner: stores records, schedules jobs, calls
// workers and answers callers.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "cellnode/advicedispatcher.h"
#include "cellnode/celljournal.h"
#include "cellnode/internal/callerrequesthandler.h"
#include "cellnode/internal/cellloader.h"
#include "cellnode/internal/relayedcalls.h"
#include "cellnode/internal/tablewatch.h"
#include "cellnode/internal/workercalls.h"
#include "cellnode/nodemetrics.h"
#include "cellnode/types/caller.h"
#include "cellnode/types/nodehooks.h"
#include "eventloop/eventloop.h"
#include "jobs/cellscheduler.h"

namespace oriolevane::cellnode {

struct OwnerSessionHooks
{
  // Called when another node owns the shard, or may own it.
  std::function<void()> mOnOwnershipLost;
  // Called when the session starts to serve requests.
  std::function<void()> mOnServing;
  // Called when all records are stored and another node may take over.
  std::function<void()> mOnReleased;
  // Reports the duration of one of the owner's operations.
  std::function<void(Stage, Duration)> mOnStageTime;
  // Called when a job gets its final state.
  std::function<void(jobs::CloseReason)> mOnJobClosed = [](jobs::CloseReason) {
  };
  // Decides whether a request may be carried out, at the time of the call.
  std::function<CallerAuthorization(const CallerRequest&,
                                    const AuthorizationTarget&)>
    mAuthorize;
  // Sends a query to a node, which passes it to the policy service.
  std::function<void(const NodeId&, QueryId, const jobs::AdviceQuery&)>
    mSendAdviceQuery;
  // Sends calls to workers to a node, which makes them.
  std::function<void(const NodeId&, cellwire::WorkerCallBatchT)>
    mSendWorkerCalls;
  // Called for an answer to a request of another term, which is ignored.
  std::function<void(PeerRequest, std::uint64_t aId)> mOnStaleAnswer;
  // Called when steps waited for queries that the session does not have.
  std::function<void(std::size_t aQueries)> mOnQueriesLost;
};

class OwnerSession
{
public:
  OwnerSession(eventloop::EventLoop& aLoop,
               const NodeOptions& aOptions,
               const RowStoreHooks& aStore,
               const UpstreamHooks& aUpstreams,
               const ExternalFormats& aFormats,
               OwnerRow aOwner,
               RowVersion aOwnerVersion,
               TimePoint aOwnedSince,
               OwnerSessionHooks aHooks);
  OwnerSession(const OwnerSession&) = delete;
  OwnerSession& operator=(const OwnerSession&) = delete;
  ~OwnerSession();

  // Applies a configuration. The session starts to serve once it has one and
  // the records are loaded.
  void Configure(const jobs::CellConfiguration& aConfiguration);
  // Calls aReply before it returns or later, but never after the session has
  // ended.
  void Serve(const CallerRequest& aRequest, AnswerCallback aReply);
  // Notes that the previous owner, and all before it, have stopped.
  void OnPredecessorGone();
  // Sets how long runs may go on at workers that did not answer, as the
  // previous owner has said in its release. To be called before the records are
  // loaded.
  void SetRunsEndIn(
    const std::map<WorkerId, std::chrono::milliseconds>& aRunsEndIn)
  {
    mRunsEndIn = aRunsEndIn;
  }
  // Takes the answer of the policy service to a query. An answer to a query of
  // another term is ignored.
  void OnAdvice(QueryId aId, jobs::AdviceAnswer aAnswer);
  // Takes the answers of workers that a relay has called.
  void OnWorkerAnswers(const cellwire::WorkerAnswerBatchT& aAnswers);
  // Adds a node that this node has a link to, or replaces what is known of it.
  // aRelays is true when the node calls workers on behalf of the owner.
  void AddNode(const RelayNode& aNode, bool aRelays);
  void RemoveNode(const NodeId& aNode);
  // Writes the pending changes and releases the shard. No order that starts a
  // task or extends a lease is sent any more, since the next owner counts the
  // leases of this one from its own takeover.
  void Release();
  // Refuses new jobs while the node has more work than its host can do.
  void SetOverloaded(bool aOverloaded)
  {
    mRequestHandler.SetOverloaded(aOverloaded);
  }
  // Records the highest fitness in the cell, for the nodes that take over.
  void SetBestFitness(double aFitness) { mJournal.SetBestFitness(aFitness); }
  // Stops all work, because the session is about to be destroyed: it sends no
  // orders, handles no answers of workers, and reports no loss or release.
  void Halt();
  // The time since the last applied write to the store was sent.
  Duration StoreAge(TimePoint aNow) const;
  bool IsServing() const { return mServing; }
  // The ownership term of the session.
  Epoch Term() const { return mOwner.mEpoch; }
  jobs::SchedulerCounts Counts() const { return mScheduler.Counts(); }
  AdviceBacklog QueriesWaiting() const { return mAdviceDispatcher.Backlog(); }

private:
  jobs::SchedulerHooks MakeSchedulerHooks();
  AdviceDispatcherHooks MakeAdviceDispatcherHooks();
  void OnLoaded(const jobs::CellRecords& aRecords);
  void StartServing();
  void OnWorkerRow(const Row& aRow);
  void OnRecorded(jobs::RecordPosition aPosition);
  void Tick();
  // Compares the queries that steps wait for with those that are pending, once
  // in a while.
  void CheckPendingQueries(const jobs::Moment& aNow);
  void LogSlowPass(TimePoint aStartedAt) const;
  void ScheduleTick();
  RelayedCallsHooks MakeRelayedCallsHooks(const UpstreamHooks& aUpstreams);
  // The runs that may go on at workers that did not answer the previous owner.
  jobs::RunEnds RecoveredRunEnds() const;
  // How long runs may go on at workers that do not answer, from now on.
  std::map<WorkerId, std::chrono::milliseconds> RunsEndIn() const;
  static jobs::Moment Now();

  eventloop::EventLoop& mLoop;
  NodeOptions mOptions;
  OwnerRow mOwner;
  OwnerSessionHooks mHooks;
  RelayedCalls mRelayedCalls;
  UpstreamHooks mUpstreams;
  WorkerCalls mWorkerCalls;
  const ExternalFormats& mFormats;
  jobs::CellScheduler mScheduler;
  AdviceDispatcher mAdviceDispatcher;
  CellJournal mJournal;
  CallerRequestHandler mRequestHandler;
  std::unique_ptr<CellLoader> mLoader;
  TableWatch mWorkerWatch;
  TimePoint mOwnedSince;
  // What the previous owner has said of workers that did not answer.
  std::map<WorkerId, std::chrono::milliseconds> mRunsEndIn;
  bool mLoaded = false;
  bool mPredecessorGone = false;
  bool mConfigured = false;
  bool mServing = false;
  bool mReleasing = false;
  bool mHalted = false;
  std::vector<std::pair<CallerRequest, AnswerCallback>> mEarlyRequests;
  TimePoint mNextQueryCheck;
  std::unique_ptr<eventloop::Timer> mTimer;
  std::shared_ptr<bool> mAlive = std::make_shared<bool>(true);
};

} // namespace oriolevane::cellnode
