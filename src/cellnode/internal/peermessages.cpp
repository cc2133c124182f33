#include "cellnode/internal/peermessages.h"

#include <algorithm>
#include <optional>

namespace oriolevane::cellnode {

namespace {

// Returns nothing for a number above that of the enum's last value.
template<typename Enum>
std::optional<Enum>
FromNumber(std::uint8_t aNumber, Enum aLast)
{
  return aNumber <= static_cast<std::uint8_t>(aLast)
           ? std::optional(static_cast<Enum>(aNumber))
           : std::nullopt;
}

} // namespace

std::uint32_t
ToWireMillis(Duration aTime)
{
  const auto millis =
    std::chrono::duration_cast<std::chrono::milliseconds>(aTime).count();
  return static_cast<std::uint32_t>(
    std::clamp<std::int64_t>(millis, 0, UINT32_MAX));
}

cellwire::CallerRequestT
ToWire(std::uint64_t aId, const CallerRequest& aRequest, Epoch aEpoch)
{
  cellwire::CallerRequestT call;
  call.id = aId;
  call.verb = static_cast<std::uint8_t>(aRequest.mVerb);
  call.host = aRequest.mHost;
  call.path = aRequest.mPath;
  call.body = aRequest.mBody;
  call.configuration = aRequest.mVersion.mValue;
  call.credential = static_cast<std::uint8_t>(aRequest.mCredential);
  call.key = aRequest.mKey;
  call.configuration_fresh = aRequest.mConfigurationFresh;
  call.epoch = aEpoch.mValue;
  return call;
}

bool
IsMeantFor(Epoch aEpoch, const cellwire::CallerRequestT& aCall)
{
  return aCall.epoch == 0 || Epoch(aCall.epoch) == aEpoch;
}

absl::StatusOr<CallerRequest>
FromWire(const cellwire::CallerRequestT& aCall)
{
  const auto verb = FromNumber(aCall.verb, CallerVerb::Cancel);
  const auto credential =
    FromNumber(aCall.credential, CredentialKind::Repeated);
  if (!verb.has_value() || !credential.has_value()) {
    return absl::InvalidArgumentError("caller request with unknown values");
  }
  return CallerRequest{ .mVerb = *verb,
                        .mHost = aCall.host,
                        .mPath = aCall.path,
                        .mBody = aCall.body,
                        .mVersion = ConfigurationVersion(aCall.configuration),
                        .mCredential = *credential,
                        .mKey = aCall.key,
                        .mConfigurationFresh = aCall.configuration_fresh };
}

cellwire::CallerAnswerT
ToWire(std::uint64_t aId, const CallerAnswer& aAnswer)
{
  cellwire::CallerAnswerT answer;
  answer.id = aId;
  answer.kind = static_cast<std::uint8_t>(aAnswer.mKind);
  answer.state = static_cast<std::uint8_t>(aAnswer.mState);
  answer.count = aAnswer.mCount;
  answer.retry_after_ms = ToWireMillis(aAnswer.mRetryAfter);
  answer.message = aAnswer.mMessage;
  answer.configuration = aAnswer.mVersion.mValue;
  return answer;
}

absl::StatusOr<CallerAnswer>
FromWire(const cellwire::CallerAnswerT& aAnswer)
{
  const auto kind = FromNumber(aAnswer.kind, CallerAnswerKind::RateLimited);
  const auto state = FromNumber(aAnswer.state, jobs::JobState::Cancelled);
  if (!kind.has_value() || !state.has_value()) {
    return absl::InvalidArgumentError("caller answer with unknown values");
  }
  return CallerAnswer{ .mKind = *kind,
                       .mState = *state,
                       .mCount = aAnswer.count,
                       .mRetryAfter =
                         std::chrono::milliseconds(aAnswer.retry_after_ms),
                       .mMessage = aAnswer.message,
                       .mVersion =
                         ConfigurationVersion(aAnswer.configuration) };
}

CallerAnswer
ForNodeWithoutKeys(CallerAnswer aAnswer)
{
  switch (aAnswer.mKind) {
    case CallerAnswerKind::Unauthorized:
    case CallerAnswerKind::Forbidden:
      aAnswer.mKind = CallerAnswerKind::Malformed;
      break;
    case CallerAnswerKind::RateLimited:
      aAnswer.mKind = CallerAnswerKind::Refused;
      break;
    default:
      break;
  }
  return aAnswer;
}

cellwire::AdviceQueryT
ToWire(std::uint64_t aId, const jobs::AdviceQuery& aQuery)
{
  cellwire::AdviceQueryT query;
  query.id = aId;
  query.job = aQuery.mStep.mJob.mValue;
  query.occurrence = aQuery.mStep.mOccurrence;
  query.step = aQuery.mStep.mStep;
  for (const WorkerId& worker : aQuery.mWorkers) {
    query.workers.push_back(worker.mValue);
  }
  query.validity_ms = ToWireMillis(aQuery.mValidity);
  return query;
}

jobs::AdviceQuery
FromWire(const cellwire::AdviceQueryT& aQuery)
{
  jobs::AdviceQuery query{ .mStep = { .mJob = jobs::JobId(aQuery.job),
                                      .mOccurrence = aQuery.occurrence,
                                      .mStep = aQuery.step },
                           .mWorkers = {},
                           .mServiceTime = {},
                           .mValidity =
                             std::chrono::milliseconds(aQuery.validity_ms) };
  for (const std::string& worker : aQuery.workers) {
    query.mWorkers.emplace_back(worker);
  }
  return query;
}

cellwire::AdviceAnswerT
ToWire(const cellwire::AdviceQueryT& aQuery, const jobs::AdviceAnswer& aAnswer)
{
  cellwire::AdviceAnswerT answer;
  answer.id = aQuery.id;
  answer.job = aQuery.job;
  answer.occurrence = aQuery.occurrence;
  answer.step = aQuery.step;
  answer.answered = aAnswer.mAnswered;
  answer.validity_ms = ToWireMillis(aAnswer.mValidity);
  for (const jobs::AdviceTicket& ticket : aAnswer.mApproved) {
    auto entry = std::make_unique<cellwire::TicketT>();
    entry->worker = ticket.mWorker.mValue;
    entry->text = ticket.mTicket;
    answer.approved.push_back(std::move(entry));
  }
  return answer;
}

jobs::AdviceAnswer
FromWire(const cellwire::AdviceAnswerT& aAnswer)
{
  jobs::AdviceAnswer answer{ .mStep = { .mJob = jobs::JobId(aAnswer.job),
                                        .mOccurrence = aAnswer.occurrence,
                                        .mStep = aAnswer.step },
                             .mAnswered = aAnswer.answered,
                             .mAsked = {},
                             .mApproved = {},
                             .mValidity =
                               std::chrono::milliseconds(aAnswer.validity_ms) };
  for (const std::unique_ptr<cellwire::TicketT>& ticket : aAnswer.approved) {
    answer.mApproved.push_back(
      { .mWorker = WorkerId(ticket->worker), .mTicket = ticket->text });
  }
  return answer;
}

} // namespace oriolevane::cellnode
