#include "gateway/statusjson.h"

#include <algorithm>
#include <sstream>

#include <Poco/Base64Encoder.h>
#include <Poco/TextIterator.h>
#include <Poco/UTF8Encoding.h>

namespace oriolevane::gateway {

using nlohmann::json;
using protocol::Outcome;
using protocol::RefusalReason;
using protocol::TaskState;

namespace {

bool
IsUtf8(const std::string& aText)
{
  const Poco::UTF8Encoding encoding;
  const Poco::TextIterator end(aText);
  for (Poco::TextIterator at(aText, encoding); at != end; ++at) {
    if (*at == -1) {
      return false;
    }
  }
  return true;
}

std::string
ToBase64(const std::string& aBytes)
{
  std::ostringstream text;
  Poco::Base64Encoder encoder(text);
  encoder.rdbuf()->setLineLength(0);
  encoder << aBytes;
  encoder.close();
  return text.str();
}

json
TaskJson(const protocol::TaskStatus& aTask)
{
  json task{ { "index", aTask.mIndex },
             { "attempt", aTask.mAttempt },
             { "state", TaskStateWord(aTask.mState) } };
  if (!aTask.mWorker.Empty()) {
    task["worker"] = aTask.mWorker.mValue;
  }
  if (!protocol::IsFinal(aTask.mState) || aTask.mAnswer.empty()) {
    return task;
  }
  if (IsUtf8(aTask.mAnswer)) {
    task["answer"] = aTask.mAnswer;
  } else {
    task["answer_base64"] = ToBase64(aTask.mAnswer);
  }
  return task;
}

} // namespace

std::string
ValidUtf8(std::string aText)
{
  if (!IsUtf8(aText)) {
    std::replace_if(
      aText.begin(),
      aText.end(),
      [](char aByte) {
        return (static_cast<unsigned char>(aByte) & 0x80U) != 0;
      },
      '?');
  }
  return aText;
}

std::string_view
OutcomeWord(Outcome aOutcome)
{
  switch (aOutcome) {
    case Outcome::Pending:
      return "pending";
    case Outcome::Ran:
      return "ran";
    case Outcome::NotRun:
      return "not_run";
    case Outcome::NotKnownYet:
      return "not_known_yet";
    case Outcome::NotFound:
      return "not_found";
  }
  return "not_known_yet";
}

std::string_view
ReasonWord(RefusalReason aReason)
{
  switch (aReason) {
    case RefusalReason::None:
      return "none";
    case RefusalReason::Overloaded:
      return "overloaded";
    case RefusalReason::QuotaExceeded:
      return "quota_exceeded";
    case RefusalReason::NeverRunnable:
      return "never_runnable";
    case RefusalReason::DeadlineUnreachable:
      return "deadline_unreachable";
    case RefusalReason::DeadlinePassed:
      return "deadline_passed";
    case RefusalReason::Cancelled:
      return "cancelled";
    case RefusalReason::StoreUnavailable:
      return "store_unavailable";
    case RefusalReason::Recovering:
      return "recovering";
    case RefusalReason::Stopping:
      return "stopping";
    case RefusalReason::UnknownWorkload:
      return "unknown_workload";
    case RefusalReason::UnknownTeam:
      return "unknown_team";
    case RefusalReason::KeyReused:
      return "key_reused";
    case RefusalReason::RetriesExhausted:
      return "retries_exhausted";
    case RefusalReason::MayHaveRun:
      return "may_have_run";
    case RefusalReason::Invalid:
      return "invalid";
    case RefusalReason::NoCapacity:
      return "no_capacity";
  }
  return "none";
}

std::string_view
TaskStateWord(TaskState aState)
{
  switch (aState) {
    case TaskState::Queued:
      return "queued";
    case TaskState::Starting:
      return "starting";
    case TaskState::Running:
      return "running";
    case TaskState::Succeeded:
      return "succeeded";
    case TaskState::Failed:
      return "failed";
    case TaskState::NotStarted:
      return "not_started";
    case TaskState::Unknown:
      return "unknown";
    case TaskState::Lost:
      return "lost";
  }
  return "unknown";
}

json
StatusJson(const protocol::RequestStatus& aStatus)
{
  json body{ { "id", aStatus.mId.mValue },
             { "outcome", OutcomeWord(aStatus.mOutcome) } };
  if (aStatus.mReason != RefusalReason::None) {
    body["reason"] = ReasonWord(aStatus.mReason);
  }
  if (!aStatus.mDetail.empty()) {
    body["detail"] = aStatus.mDetail;
  }
  if (aStatus.mRetryAfter.has_value()) {
    body["retry_after_ms"] = aStatus.mRetryAfter->count();
  }
  json tasks = json::array();
  for (const protocol::TaskStatus& task : aStatus.mTasks) {
    tasks.push_back(TaskJson(task));
  }
  body["tasks"] = std::move(tasks);
  for (const protocol::TrailEntry& entry : aStatus.mTrail) {
    body["trail"].push_back(
      { { "since_submission_ms", entry.mSinceSubmission.count() },
        { "event", entry.mEvent },
        { "detail", entry.mDetail } });
  }
  return body;
}

} // namespace oriolevane::gateway
