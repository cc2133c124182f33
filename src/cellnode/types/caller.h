// Defines the requests that callers send to a node and the answers they get.
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
  // Reads the state of a job, or the number of waiting jobs when the path names
  // a queue.
  Query,
  Cancel
};

struct CallerRequest
{
  CallerVerb mVerb = CallerVerb::Query;
  std::string mHost;
  std::string mPath;
  std::string mBody;
  // The newest configuration version known to the node that received the
  // request.
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
  // The request was not carried out and never will be. The caller may retry it
  // later.
  Refused,
  // It is unknown whether the request was carried out. Sending it again is
  // safe.
  Undetermined
};

struct CallerAnswer
{
  CallerAnswerKind mKind = CallerAnswerKind::Undetermined;
  // The state of the job; set when mKind is State.
  jobs::JobState mState = jobs::JobState::Queued;
  // The number of waiting jobs; set when mKind is Count.
  std::uint64_t mCount = 0;
  // How long the caller should wait before a retry; set on a refusal.
  std::chrono::milliseconds mRetryAfter{ 0 };
  // A human-readable reason.
  std::string mMessage;
};

using AnswerCallback = std::function<void(const CallerAnswer&)>;

} // namespace oriolevane::cellnode
