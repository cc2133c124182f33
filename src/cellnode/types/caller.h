// Requests of callers and their answers.
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>

#include "jobs/types/cellconfiguration.h"
#include "jobs/types/jobstate.h"

namespace oriolevane::cellnode {

enum class CallerVerb : std::uint8_t
{
  Submit,
  // State of a job, or the count of waiting jobs when the path names a queue.
  Ask,
  Cancel
};

struct CallerRequest
{
  CallerVerb mVerb = CallerVerb::Ask;
  std::string mHost;
  std::string mPath;
  std::string mBody;
  // Configuration that the node which took the request knows.
  ConfigurationVersion mVersion;
};

enum class CallerAnswerKind : std::uint8_t
{
  Accepted,
  Cancelled,
  State,
  Count,
  UnknownQueue,
  UnknownJob,
  Malformed,
  // Not done, and never will be; may be tried again later.
  Refused,
  // Not known whether it was done; the same request can be sent again.
  Undetermined
};

struct CallerAnswer
{
  CallerAnswerKind mKind = CallerAnswerKind::Undetermined;
  jobs::JobState mState = jobs::JobState::Queued;
  std::uint64_t mCount = 0;
  // Of a refusal.
  std::chrono::milliseconds mRetryAfter{ 0 };
  // Why, for people.
  std::string mMessage;
};

using CallerReply = std::function<void(const CallerAnswer&)>;

} // namespace oriolevane::cellnode
