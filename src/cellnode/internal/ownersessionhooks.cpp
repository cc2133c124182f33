// The hooks through which the parts of an owner session reach each other, the
// workers and the other nodes.
#include <utility>

#include "cellnode/internal/ownersession.h"
#include "framework/log.h"
#include "framework/steadynow.h"

namespace oriolevane::cellnode {

jobs::SchedulerHooks
OwnerSession::MakeSchedulerHooks()
{
  return {
    .mStart =
      [this](const jobs::StartOrder& aOrder) {
        mWorkerCalls.Start(
          aOrder,
          [this, alive = mAlive, aOrder](const jobs::OrderAnswer& aAnswer) {
            if (*alive) {
              mScheduler.OnStartAnswer(aOrder, aAnswer, Now());
              ScheduleTick();
            }
          });
      },
    .mStop =
      [this](const jobs::StopOrder& aOrder) {
        mWorkerCalls.Stop(
          aOrder,
          [this, alive = mAlive, aOrder](const jobs::OrderAnswer& aAnswer) {
            if (*alive) {
              mScheduler.OnStopAnswer(aOrder, aAnswer, Now());
              ScheduleTick();
            }
          });
      },
    .mPoll =
      [this](const jobs::PollOrder& aOrder) {
        mWorkerCalls.Poll(
          aOrder,
          [this, alive = mAlive, aOrder](TimePoint aSentAt,
                                         const jobs::PollAnswer& aAnswer) {
            if (*alive) {
              mScheduler.OnPollAnswer(aOrder, aSentAt, aAnswer, Now());
              ScheduleTick();
            }
          });
      },
    .mAskAdvice =
      [this](const jobs::AdviceQuery& aQuery) {
        mAdviceDispatcher.Add(aQuery);
      },
    .mOnFenced =
      [this](const WorkerId& aWorker) {
        LogWarning("worker_refused_stale_epoch")
          .With("worker", aWorker)
          .With("epoch", mOwner.mEpoch);
      },
    .mOnProofWanted = [this] { mJournal.RequestRenewal(); },
    .mOnStepStarted =
      [this](Duration aWaited) { mHooks.mOnStageTime(Stage::Queue, aWaited); },
    .mOnJobClosed =
      [this](jobs::CloseReason aReason, Duration aAge) {
        mHooks.mOnJobClosed(aReason);
        mHooks.mOnStageTime(Stage::Job, aAge);
      }
  };
}

AdviceDispatcherHooks
OwnerSession::MakeAdviceDispatcherHooks()
{
  return { .mSend =
             [this](const NodeId& aNode,
                    QueryId aId,
                    const jobs::AdviceQuery& aQuery) {
               mHooks.mSendAdviceQuery(aNode, aId, aQuery);
             },
           .mUpdate =
             [this](const jobs::AdviceQuery& aQuery) {
               return mScheduler.UpdatedQuery(aQuery, Now());
             },
           .mOnUnanswered =
             [this](const jobs::AdviceQuery& aQuery) {
               mScheduler.OnAdvice(
                 { .mStep = aQuery.mStep, .mAsked = aQuery.mWorkers }, Now());
             } };
}

RelayedCallsHooks
OwnerSession::MakeRelayedCallsHooks(const UpstreamHooks& aUpstreams)
{
  return { .mDirect = aUpstreams,
           .mSend =
             [this](const NodeId& aNode, cellwire::WorkerCallBatchT aBatch) {
               mHooks.mSendWorkerCalls(aNode, std::move(aBatch));
             },
           .mRequestFlush =
             [this] {
               mLoop.Post([this, alive = mAlive] {
                 if (*alive) {
                   mRelayedCalls.Flush();
                 }
               });
             },
           .mNow = [] { return SteadyNow(); },
           .mOnStaleAnswer =
             [this](RelayedCallId aId) {
               mHooks.mOnStaleAnswer(PeerRequest::WorkerCall, aId.mValue);
             } };
}

} // namespace oriolevane::cellnode
