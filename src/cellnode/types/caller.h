// Defines the requests that callers send to a node and the answers they get.
#pragma once

#include <chrono>
#include <cstddef>
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

// What a request says of its caller. The values are part of the messages
// between nodes.
enum class CredentialKind : std::uint8_t
{
  // The request came through a node of a build that does not forward keys.
  Unknown,
  Absent,
  Key,
  Malformed,
  // More than one credential.
  Repeated
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
  CredentialKind mCredential = CredentialKind::Absent;
  // The API key; set when mCredential is Key. It must not be logged.
  std::string mKey;
  // True when the node that received the request had the configuration mVersion
  // and knew it to be the newest one after the request had arrived.
  bool mConfigurationFresh = false;
};

// The values are part of the messages between nodes, and new ones come last.
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
  Undetermined,
  // The key is missing or not known.
  Unauthorized,
  // The job belongs to another team.
  Forbidden,
  // As Refused, because of what the caller's own team has sent.
  RateLimited
};

constexpr std::size_t kCallerAnswerKinds =
  static_cast<std::size_t>(CallerAnswerKind::RateLimited) + 1;

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
  // The owner's configuration version; 0 when no owner gave the answer.
  ConfigurationVersion mVersion;
};

using AnswerCallback = std::function<void(const CallerAnswer&)>;

} // namespace oriolevane::cellnode
