// Reads back the state of partitions that this node has acquired, on a thread
// of its own.
#pragma once

#include <functional>
#include <thread>

#include "framework/boundedqueue.h"
#include "journal/journal.h"
#include "node/types/ownership.h"

namespace oriolevane::node {

class PartitionRecovery
{
public:
  // aOnRecovered is called on this duty's thread, in order of acquisition.
  PartitionRecovery(journal::Journal& aJournal,
                    std::function<void(PartitionGained)> aOnRecovered);
  PartitionRecovery(const PartitionRecovery&) = delete;
  PartitionRecovery& operator=(const PartitionRecovery&) = delete;
  ~PartitionRecovery();

  void Start();
  void Stop();
  // Retried until it succeeds, unless the partition was lost to a higher epoch
  // meanwhile.
  void Recover(PartitionId aPartition, Epoch aEpoch);

private:
  struct Job
  {
    PartitionId mPartition;
    Epoch mEpoch;
  };

  void Run();
  // True when the job is done, well or for good.
  bool Try(const Job& aJob);

  journal::Journal& mJournal;
  std::function<void(PartitionGained)> mOnRecovered;
  BoundedQueue<Job> mJobs;
  std::thread mThread;
};

} // namespace oriolevane::node
