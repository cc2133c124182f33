// Answers the requests of callers at the owner of the shard: submissions,
// cancellations and queries.
#pragma once

#include <deque>
#include <functional>
#include <optional>
#include <string>

#include "cellnode/callerauthorizer.h"
#include "cellnode/celljournal.h"
#include "cellnode/internal/requesttarget.h"
#include "cellnode/types/caller.h"
#include "cellnode/types/nodehooks.h"
#include "jobs/cellscheduler.h"

namespace oriolevane::cellnode {

struct CallerRequestHooks
{
  std::function<jobs::Moment()> mNow;
  // Decides whether a request may be carried out, at the time of the call.
  std::function<CallerAuthorization(const CallerRequest&,
                                    const AuthorizationTarget&)>
    mAuthorize;
  // How long a new query to the policy service is expected to wait.
  std::function<Duration()> mAdviceWait = [] { return Duration::zero(); };
  // Called when there are changes to write or jobs to schedule.
  std::function<void()> mOnWork;
};

class CallerRequestHandler
{
public:
  CallerRequestHandler(const ExternalFormats& aFormats,
                       jobs::CellScheduler& aScheduler,
                       CellJournal& aJournal,
                       CallerRequestHooks aHooks);

  // Calls aReply before it returns, or once the change that the answer reports
  // is stored.
  void Serve(const CallerRequest& aRequest, const AnswerCallback& aReply);
  // Refuses jobs that are not known from now on, because the shard is being
  // handed over.
  void RefuseNewJobs() { mRefusesNewJobs = true; }
  // While set, jobs that are not known are refused. The jobs accepted before
  // then get the processor time.
  void SetOverloaded(bool aOverloaded) { mOverloaded = aOverloaded; }
  // Answers the requests whose changes are stored, and those that waited for a
  // proof of ownership. To be called after each applied transaction.
  void OnRecorded(jobs::RecordPosition aPosition);
  // Refuses the submissions that are not part of a transaction yet and would be
  // stored too late. While the store does not answer, these are all of them,
  // and the requests that wait for a proof of ownership are refused as well.
  void RefuseIfStoreUnavailable(TimePoint aNow);

private:
  struct WaitingReply
  {
    jobs::RecordPosition mPosition;
    CallerAnswer mAnswer;
    AnswerCallback mReply;
    TimePoint mQueuedAt;
    // The submitted job; empty for other requests.
    jobs::JobId mSubmitted;
  };

  // A request for a job that this node does not know. Another node may have
  // taken over the shard and accepted the job.
  struct UnconfirmedReply
  {
    // The newest transaction when the request arrived.
    std::uint64_t mSequence = 0;
    AnswerCallback mReply;
  };

  // Decides whether a request may be carried out. The key of a job's own team
  // counts under a public path too.
  CallerAuthorization Authorize(const CallerRequest& aRequest,
                                const RequestTarget& aTarget) const;
  // Answers a request that names neither a queue nor a job that is known. No
  // key is needed for that.
  void AnswerUnknownTarget(const CallerRequest& aRequest,
                           const RequestTarget& aTarget,
                           const AnswerCallback& aReply);
  // Carries out a request that is authorized.
  void Execute(const CallerRequest& aRequest,
               const CallerAuthorization& aCaller,
               const RequestTarget& aTarget,
               const AnswerCallback& aReply);
  void Submit(const jobs::QueuePolicy& aQueue,
              const jobs::JobId& aId,
              const TeamId& aTeam,
              const CallerRequest& aRequest,
              const AnswerCallback& aReply);
  // Returns the refusal of a job that is not known, if it must not be accepted
  // now.
  std::optional<CallerAnswer> RefusalOfNewJob(const jobs::QueuePolicy& aQueue,
                                              const jobs::JobId& aId) const;
  bool CanRecordSoon() const;
  // The time without an answer to a transaction after which the store counts as
  // unavailable.
  Duration StoreUnavailableAfter() const;
  // Refuses the submissions that are not part of a transaction yet, of those
  // that arrived before a time.
  void RefuseUnbatchedSubmissions(TimePoint aQueuedBefore);
  void Cancel(const jobs::JobId& aId,
              const TeamId& aTeam,
              const AnswerCallback& aReply);
  // Replies that a job is not known, once it is stored that its submission must
  // not be accepted any more. A node that stood still may still pass it on.
  void CancelUnknownJob(const jobs::JobId& aId,
                        const TeamId& aTeam,
                        const AnswerCallback& aReply);
  // Replies once the change at aPosition is stored.
  void ReplyWhenRecorded(jobs::RecordPosition aPosition,
                         CallerAnswer aAnswer,
                         AnswerCallback aReply,
                         const jobs::JobId& aSubmitted = {});

  // Replies that a job is not known, once a transaction that is built from now
  // on has been applied. It shows that this node owns the shard and so knows
  // all jobs.
  void ReplyUnknownJob(AnswerCallback aReply);
  void ReplyToUnconfirmed();
  void RefuseUnconfirmed();

  const ExternalFormats& mFormats;
  jobs::CellScheduler& mScheduler;
  CellJournal& mJournal;
  CallerRequestHooks mHooks;
  bool mRefusesNewJobs = false;
  bool mOverloaded = false;
  std::deque<WaitingReply> mWaitingReplies;
  std::deque<UnconfirmedReply> mUnconfirmedReplies;
};

} // namespace oriolevane::cellnode
