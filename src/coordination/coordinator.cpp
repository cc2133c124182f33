#include "coordination/coordinator.h"

#include "coordination/internal/engine.h"
#include "framework/stablehash.h"

namespace oriolevane::coordination {

Coordinator::Coordinator(CoordinatorOptions aOptions)
  : mEngine(std::make_unique<internal::Engine>(aOptions))
{
}

Coordinator::~Coordinator() = default;
Coordinator::Coordinator(Coordinator&&) noexcept = default;
Coordinator&
Coordinator::operator=(Coordinator&&) noexcept = default;

absl::Status
Coordinator::Restore(std::string_view aSnapshot)
{
  return mEngine->Restore(aSnapshot);
}

absl::Status
Coordinator::Replay(std::string_view aRecord)
{
  return mEngine->Replay(aRecord);
}

std::vector<CoordinatorAction>
Coordinator::BeginServing(TimePoint aNow)
{
  return mEngine->BeginServing(aNow);
}

std::vector<CoordinatorAction>
Coordinator::Handle(const CoordinatorEvent& aEvent, TimePoint aNow)
{
  return mEngine->Handle(aEvent, aNow);
}

std::string
Coordinator::Snapshot() const
{
  return mEngine->Snapshot();
}

std::uint64_t
Coordinator::CommittedSequence() const
{
  return mEngine->CommittedSequence();
}

std::uint64_t
Coordinator::StateDigest() const
{
  return StableHash(mEngine->Snapshot());
}

bool
Coordinator::IsServing() const
{
  return mEngine->IsServing();
}

bool
Coordinator::IsIdle() const
{
  return mEngine->IsIdle();
}

std::size_t
Coordinator::LiveRequests() const
{
  return mEngine->LiveRequestCount();
}

std::size_t
Coordinator::PendingRecords() const
{
  return mEngine->PendingRecordCount();
}

} // namespace oriolevane::coordination
