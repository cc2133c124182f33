// What a placer knows of one worker.
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
  // Dense numbers of its zone and rack.
  std::uint16_t mZone = 0;
  std::uint32_t mRack = 0;
  // Named by the platform's latest list.
  bool mListed = true;
  // Its own word.
  bool mSaysLeaving = false;
  bool mDrained = false;
  // It accepted this placer's epoch and its inventory is in the ledger.
  bool mFenced = false;
  // The latest exchange failed, or its attempts are reported as unknown.
  bool mSuspect = false;
  bool mSilent = false;
  // All leases that it held when it fell silent have surely lapsed.
  bool mLapsed = false;
  // A command to it is due at the end of this call.
  bool mDirty = false;
  // Tells this use of a table slot from earlier ones.
  std::uint32_t mGeneration = 0;
  Incarnation mIncarnation;
  // Incarnations before the current one, latest last.
  std::vector<Incarnation> mRetired;
  std::uint64_t mReportSequence = 0;
  std::chrono::milliseconds mClock{ 0 };
  // When the latest report was handled, or the worker was first listed.
  TimePoint mHeardAt;
  TimePoint mSentAt;
  std::uint64_t mCommandSequence = 0;
  std::vector<PendingOrder> mOrders;
  std::vector<AttemptIndex> mAttempts;
  // Of mAttempts, those whose resources are granted.
  std::uint32_t mLive = 0;
  WorkerHealth mHealth;
  WorkerReservation mReservation;

  // True when new work may be sent to it, health apart.
  bool TakesWork() const
  {
    return mListed && !mInfo.mLeaving && !mSaysLeaving && !mDrained &&
           mFenced && !mSuspect && !mSilent;
  }
};

} // namespace oriolevane::placement
