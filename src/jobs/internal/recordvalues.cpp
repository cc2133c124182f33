#include "jobs/internal/recordvalues.h"

namespace oriolevane::jobs {

RecordValue
CurrentValue(const CellState& aCell, const RecordKey& aKey)
{
  const auto valueOrNothing = [](const auto& aValue) {
    return aValue.has_value() ? RecordValue(*aValue) : RecordValue();
  };
  switch (aKey.mKind) {
    case RecordKind::Job:
      return valueOrNothing(aCell.mJobs.JobRecordOf(JobId(aKey.mName)));
    case RecordKind::Progress:
      return valueOrNothing(aCell.mJobs.ProgressRecordOf(aKey.mName));
    case RecordKind::Finished:
      return valueOrNothing(aCell.mJobs.FinishedRecordOf(JobId(aKey.mName)));
    case RecordKind::Worker:
      return valueOrNothing(aCell.mFleet.RecordOf(WorkerId(aKey.mName)));
  }
  return {};
}

} // namespace oriolevane::jobs
