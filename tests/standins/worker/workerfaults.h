// What one worker of the stand-in does wrong, set through its control
// endpoints.
#pragma once

#include <chrono>

#include "standins/worker/workermodel.h"

namespace oriolevane::standins {

struct WorkerFaults
{
  WorkerBehaviour mBehaviour;
  // Commands are taken in and neither applied nor answered; no reports.
  bool mSilent = false;
  // Commands are applied at once and answered after this time.
  std::chrono::milliseconds mAnswerDelay{ 0 };
  // Posted reports are delayed by a random time up to this, and so arrive out
  // of order; one in four is posted twice.
  std::chrono::milliseconds mReportDelay{ 0 };
};

} // namespace oriolevane::standins
