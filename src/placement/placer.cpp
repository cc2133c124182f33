#include "placement/placer.h"

#include <variant>

#include "placement/internal/placerparts.h"

namespace oriolevane::placement {

Placer::Placer(const PlacerOptions& aOptions)
  : mParts(std::make_unique<Parts>(aOptions))
{
}

Placer::~Placer() = default;

std::vector<PlacerAction>
Placer::Handle(const PlacerEvent& aEvent, TimePoint aNow)
{
  PlacerContext& context = mParts->mContext;
  if (context.mDeposed) {
    return {};
  }
  context.mNow = aNow;
  std::visit([this](const auto& aOne) { mParts->Take(aOne); }, aEvent);
  if (context.mDeposed) {
    context.mOutbox.Clear();
    return {};
  }
  mParts->mScheduler.Pass();
  mParts->mSupervisor.Flush();
  return context.mOutbox.Take();
}

bool
Placer::HasMoreWork() const
{
  return mParts->mScheduler.HasMore();
}

protocol::ShardDigest
Placer::Digest(TimePoint aNow)
{
  mParts->mContext.mNow = aNow;
  return mParts->MakeDigest();
}

bool
Placer::IsReady() const
{
  return mParts->mSupervisor.IsMostlySettled();
}

bool
Placer::IsDeposed() const
{
  return mParts->mContext.mDeposed;
}

std::uint64_t
Placer::StateDigest() const
{
  return HashState(mParts->mContext);
}

bool
Placer::CheckInvariants() const
{
  return IsConsistent(mParts->mContext);
}

std::size_t
Placer::AttemptCount() const
{
  return mParts->mContext.mAttempts.Size();
}

} // namespace oriolevane::placement
