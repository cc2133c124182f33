// State that a placer keeps for each worker.
#pragma once

#include <cstdint>
#include <vector>

#include "framework/types/timepoint.h"
#include "placement/internal/handles.h"
#include "placement/internal/pendingorder.h"
#include "placement/internal/workerhealth.h"
#include "placement/internal/workerreservation.h"
#include "protocol/types/workermessages.h"

namespace oriolevane::placement {

struct WorkerRecord
{
  protocol::WorkerInfo mInfo;
  // Dense indexes of its zone and rack, assigned by WorkerTable.
  std::uint16_t mZone = 0;
  std::uint32_t mRack = 0;
  // The platform's latest host list contains the worker.
  bool mListed = true;
  // The worker's latest report says that it is leaving.
  bool mReportsLeaving = false;
  // The configuration drains the worker.
  bool mDrained = false;
  // The worker has accepted this placer's epoch, and the ledger includes its
  // inventory.
  bool mEpochAccepted = false;
  // The latest exchange with the worker failed, or its attempts are reported as
  // unknown.
  bool mUnreachable = false;
  // No report has arrived for PlacerOptions::mSilenceUntilUnknown.
  bool mSilent = false;
  // All task leases that the worker held at its latest report have certainly
  // expired.
  bool mLeasesExpired = false;
  // The worker has accepted this placer's epoch, or its leases have expired, at
  // least once; no task started under an earlier epoch is unaccounted for.
  bool mReconciled = false;
  // A command is sent to the worker at the end of the current call.
  bool mCommandDue = false;
  // Distinguishes this use of the table slot from earlier ones.
  std::uint32_t mGeneration = 0;
  Incarnation mIncarnation;
  // An unknown incarnation that has sent a report. It becomes the current one
  // when it reports a command with at least mCandidateSequence as applied. If
  // the current incarnation does so first, it stays and the candidate is
  // rejected.
  Incarnation mCandidateIncarnation;
  std::uint64_t mCandidateSequence = 0;
  // Incarnations known not to be current, latest last.
  std::vector<Incarnation> mPastIncarnations;
  std::uint64_t mReportSequence = 0;
  // The worker's monotonic clock in its latest report; leases are anchored to
  // it.
  std::chrono::milliseconds mClock{ 0 };
  // Time at which the latest report was handled, or at which the worker was
  // first listed.
  TimePoint mLastReportAt;
  TimePoint mSentAt;
  std::uint64_t mCommandSequence = 0;
  std::vector<PendingOrder> mOrders;
  std::vector<AttemptIndex> mAttempts;
  // Number of attempts in mAttempts whose resources are granted.
  std::uint32_t mGrantedAttempts = 0;
  WorkerHealth mHealth;
  WorkerReservation mReservation;

  // Returns true when new work may be sent to the worker. Its health is checked
  // separately.
  bool TakesWork() const
  {
    return mListed && !mInfo.mLeaving && !mReportsLeaving && !mDrained &&
           mEpochAccepted && !mUnreachable && !mSilent;
  }
};

} // namespace oriolevane::placement
