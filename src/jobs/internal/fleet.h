// All workers of a shard: registry, leases, fencing tokens and polls.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <vector>

#include "jobs/internal/worker.h"
#include "jobs/recordlog.h"
#include "jobs/types/scheduleroptions.h"

namespace oriolevane::jobs {

class Fleet
{
public:
  Fleet(const SchedulerOptions& aOptions, RecordLog& aLog)
    : mOptions(aOptions)
    , mLog(aLog)
  {
  }

  using WorkerMap = std::map<WorkerId, Worker>;

  WorkerMap& Workers() { return mWorkers; }
  const WorkerMap& Workers() const { return mWorkers; }
  Worker* Find(const WorkerId& aId);

  // Takes over the workers that an earlier owner may have given tasks. What is
  // unknown of them is known by aUnknownUntil at the latest.
  void Recover(const std::vector<WorkerRecord>& aRecords,
               TimePoint aUnknownUntil);
  // The leases of the earlier owner are over by then.
  void ShortenUnknown(TimePoint aUntil);
  // Takes over an entry of the registry. Returns true when another life of the
  // worker has taken its place; the caller ends the runs of the earlier one.
  bool List(const WorkerEntry& aEntry, TimePoint aNow);
  void Unlist(const WorkerId& aId, TimePoint aNow);
  // Another life of the worker answers under its id.
  void BeginLife(Worker& aWorker, WorkerLife aLife);

  // Orders carry tokens from now on that refuse all earlier orders.
  void RaiseToken(Worker& aWorker);
  void ReadClock(Worker& aWorker, WorkerTime aTime, TimePoint aNow);
  // The lease end to send now, which is remembered; nothing when the clock is
  // not known or this node must not renew leases.
  std::optional<WorkerTime> GrantLease(Worker& aWorker, TimePoint aNow);
  // Sends the polls that are due.
  void PollDue(TimePoint aNow,
               const std::function<void(const PollOrder&)>& aSend);
  // Changes up to this position are recorded.
  void OnRecorded(RecordPosition aPosition);
  // True when the runs of the earlier owner are all known.
  bool IsResolved(TimePoint aNow) const;
  // Forgets workers that are not listed, silent, and run nothing; aOnGone is
  // called for each before.
  void Prune(TimePoint aNow, const std::function<void(const Worker*)>& aOnGone);
  // The worker can take something that it could not take before.
  void NoteGain(Worker& aWorker) { aWorker.mGainedAt = ++mChanges; }
  // Counts what NoteGain() was told.
  std::uint64_t Changes() const { return mChanges; }
  // Until when leases may be renewed.
  void SetAuthority(TimePoint aUntil) { mAuthorityUntil = aUntil; }
  TimePoint Authority() const { return mAuthorityUntil; }

  // Nothing when the record is to be removed.
  std::optional<WorkerRecord> RecordOf(const WorkerId& aId) const;

private:
  void ForgetRecord(Worker& aWorker);
  void SendPoll(Worker& aWorker,
                TimePoint aNow,
                std::chrono::milliseconds aWait,
                const std::function<void(const PollOrder&)>& aSend);

  const SchedulerOptions& mOptions;
  RecordLog& mLog;
  WorkerMap mWorkers;
  TimePoint mAuthorityUntil;
  TimePoint mUnknownUntil;
  std::uint64_t mChanges = 0;
};

} // namespace oriolevane::jobs
