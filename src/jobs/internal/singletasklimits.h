// Leaves a part of the workers to waiting gangs, as single tasks that can wait
// would take each piece of capacity before a whole gang fits.
//
// It answers loads of wide gangs beside small tasks with long deadlines. Only
// the workers that a waiting gang could use are left to it.
#pragma once

#include <vector>

#include "jobs/internal/eligibleworkers.h"
#include "jobs/internal/workergroup.h"

namespace oriolevane::jobs {

// True for a step whose tasks can wait for others without missing their
// objective.
bool
HasAmpleSlack(const Candidate& aCandidate);

// Notes on each usable worker whether it is left to gangs in this pass. The
// part of a group of workers that single tasks may use shrinks as the gangs of
// the group need more. Gangs that the group could not hold, even with only its
// long-running tasks, do not count.
void
LeaveWorkersToGangs(const std::vector<Candidate>& aWaitingGangs,
                    const std::vector<Worker*>& aUsable);

// Opens some of a step's workers to it if all workers of its group are left to
// gangs that could use others as well, so that it does not stand still.
void
OpenSomeWorkers(const WorkerGroup& aGroup,
                const std::vector<Worker*>& aUsable,
                std::vector<EligibleWorker>& aEligible);

} // namespace oriolevane::jobs
