// Splits the progress of an occurrence into records of limited size, since the
// store takes no larger rows.
#pragma once

#include <optional>
#include <string>
#include <utility>

#include "jobs/recordwritequeue.h"
#include "jobs/types/jobspec.h"

namespace oriolevane::jobs {

// Identifies a record of a part of the tasks of an occurrence.
struct ProgressPart
{
  JobId mJob;
  int mOccurrence = 0;
  int mPart = 0;

  // The key's name is "JOB.OCCURRENCE", with ".PART" for parts after the first.
  RecordKey Key() const;
};

// Parses the name of ProgressPart::Key(). Returns nothing when the name does
// not have this format.
std::optional<ProgressPart>
ParseProgressPart(const std::string& aName);

// Number of parts that the tasks of an occurrence are divided into.
int
ProgressPartCount(const JobSpec& aSpec);
// The part that a task belongs to.
int
ProgressPartOf(const JobSpec& aSpec, int aStep, int aIndex);
// The first task of a step that belongs to a part, and the first one after it.
std::pair<int, int>
TasksOfStepInPart(const JobSpec& aSpec, int aStep, int aPart);

} // namespace oriolevane::jobs
