#include "jobs/internal/advicebook.h"

#include <algorithm>

namespace oriolevane::jobs {

namespace {

using namespace std::chrono_literals;

// The service takes no more workers in one call.
constexpr std::size_t kMostWorkersAsked = 100;
// A query without an answer for so long is asked again.
constexpr std::chrono::milliseconds kLostAfter = 5000ms;
// A ticket must still be valid when its order arrives.
constexpr std::chrono::milliseconds kTicketMargin = 150ms;

} // namespace

const AdviceBook::StepAdvice*
AdviceBook::Find(const StepKey& aStep) const
{
  const auto found = mSteps.find(aStep);
  return found == mSteps.end() ? nullptr : &found->second;
}

const std::string*
AdviceBook::TicketFor(const StepKey& aStep,
                      const WorkerId& aWorker,
                      TimePoint aNow) const
{
  const StepAdvice* advice = Find(aStep);
  if (advice == nullptr) {
    return nullptr;
  }
  const auto ticket = advice->mApproved.find(aWorker);
  if (ticket == advice->mApproved.end() ||
      ticket->second.mUsableUntil <= aNow) {
    return nullptr;
  }
  return &ticket->second.mText;
}

bool
AdviceBook::IsApproved(const StepKey& aStep, const WorkerId& aWorker) const
{
  const StepAdvice* advice = Find(aStep);
  return advice != nullptr && advice->mApproved.contains(aWorker);
}

bool
AdviceBook::HasAnswer(const StepKey& aStep) const
{
  const StepAdvice* advice = Find(aStep);
  return advice != nullptr && advice->mAnswered;
}

bool
AdviceBook::IsFreshUntil(const StepKey& aStep, TimePoint aTime) const
{
  const StepAdvice* advice = Find(aStep);
  return advice != nullptr && advice->mFreshUntil >= aTime;
}

void
AdviceBook::Ask(const StepKey& aStep,
                const AdvicePolicy& aPolicy,
                const std::vector<WorkerId>& aCandidates,
                TimePoint aNow,
                const std::function<void(const AdviceQuery&)>& aSend)
{
  StepAdvice& advice = mSteps[aStep];
  if (advice.mAsking && advice.mAskedAt + kLostAfter > aNow) {
    return;
  }
  AdviceQuery query{
    .mStep = aStep, .mWorkers = {}, .mCost = {}, .mValidity = aPolicy.mValidity
  };
  for (const WorkerId& worker : aCandidates) {
    const bool refused =
      advice.mAsked.contains(worker) && !advice.mApproved.contains(worker);
    if (!refused && query.mWorkers.size() < kMostWorkersAsked) {
      query.mWorkers.push_back(worker);
    }
  }
  if (query.mWorkers.empty()) {
    return;
  }
  query.mCost =
    aPolicy.mDecisionTime +
    aPolicy.mTimePerWorker * static_cast<std::int64_t>(query.mWorkers.size());
  advice.mAsking = true;
  advice.mAskedAt = aNow;
  aSend(query);
}

void
AdviceBook::Answer(const AdviceAnswer& aAnswer, TimePoint aNow)
{
  const auto found = mSteps.find(aAnswer.mStep);
  if (found == mSteps.end()) {
    return;
  }
  StepAdvice& advice = found->second;
  advice.mAsking = false;
  if (!aAnswer.mAnswered) {
    return;
  }
  advice.mAnswered = true;
  advice.mFreshUntil = aNow + aAnswer.mValidity - kTicketMargin;
  advice.mAsked.insert(aAnswer.mAsked.begin(), aAnswer.mAsked.end());
  for (const AdviceTicket& ticket : aAnswer.mApproved) {
    advice.mApproved[ticket.mWorker] = { .mText = ticket.mTicket,
                                         .mUsableUntil = advice.mFreshUntil };
  }
}

void
AdviceBook::DropTicket(const StepKey& aStep, const WorkerId& aWorker)
{
  const auto found = mSteps.find(aStep);
  if (found == mSteps.end()) {
    return;
  }
  const auto ticket = found->second.mApproved.find(aWorker);
  if (ticket != found->second.mApproved.end()) {
    ticket->second.mUsableUntil = {};
  }
  found->second.mFreshUntil = {};
}

void
AdviceBook::DropWorker(const WorkerId& aWorker)
{
  for (auto& [key, advice] : mSteps) {
    advice.mApproved.erase(aWorker);
    advice.mAsked.erase(aWorker);
  }
}

void
AdviceBook::ForgetJob(const JobId& aJob)
{
  const StepKey first{ .mJob = aJob };
  auto entry = mSteps.lower_bound(first);
  while (entry != mSteps.end() && entry->first.mJob == aJob) {
    entry = mSteps.erase(entry);
  }
}

} // namespace oriolevane::jobs
