#include "placement/placer.h"

#include <variant>

#include "placement/internal/placerimpl.h"

namespace oriolevane::placement {

Placer::Placer(const PlacerOptions& aOptions)
  : mImpl(std::make_unique<Impl>(aOptions))
{
}

Placer::~Placer() = default;

std::vector<PlacerAction>
Placer::Handle(const PlacerEvent& aEvent, TimePoint aNow)
{
  PlacerContext& context = mImpl->mContext;
  if (context.mDeposed) {
    return {};
  }
  context.mNow = aNow;
  std::visit([this](const auto& aAlternative) { mImpl->Handle(aAlternative); },
             aEvent);
  if (context.mDeposed) {
    context.mOutbox.Clear();
    return {};
  }
  mImpl->mScheduler.RunPass(std::holds_alternative<Tick>(aEvent));
  mImpl->mSupervisor.SendScheduledCommands();
  return context.mOutbox.Take();
}

bool
Placer::HasMoreWork() const
{
  return mImpl->mScheduler.HasMore();
}

protocol::ShardDigest
Placer::Digest(TimePoint aNow)
{
  mImpl->mContext.mNow = aNow;
  return mImpl->MakeDigest();
}

bool
Placer::IsReady() const
{
  return mImpl->mSupervisor.IsMostlyReconciled();
}

bool
Placer::IsDeposed() const
{
  return mImpl->mContext.mDeposed;
}

std::uint64_t
Placer::StateDigest() const
{
  return HashState(mImpl->mContext);
}

bool
Placer::CheckInvariants() const
{
  return IsConsistent(mImpl->mContext);
}

std::size_t
Placer::AttemptCount() const
{
  return mImpl->mContext.mAttempts.Size();
}

} // namespace oriolevane::placement
