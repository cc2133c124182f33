// Names one attempt at one task of a request.
#pragma once

#include <compare>
#include <cstdint>
#include <functional>

#include "framework/types/ids.h"

namespace oriolevane::protocol {

// Attempts of a task count from 1 and are never reused, so that a late answer
// cannot be taken for a newer one.
struct TaskKey
{
  RequestId mRequest;
  std::uint32_t mIndex = 0;
  std::uint32_t mAttempt = 0;

  auto operator<=>(const TaskKey&) const = default;
};

} // namespace oriolevane::protocol

template<>
struct std::hash<oriolevane::protocol::TaskKey>
{
  std::size_t operator()(
    const oriolevane::protocol::TaskKey& aKey) const noexcept
  {
    const std::size_t mixed =
      (static_cast<std::size_t>(aKey.mIndex) << 32U) ^ aKey.mAttempt;
    return std::hash<std::string>{}(aKey.mRequest.mValue) ^
           (mixed * 0x9e3779b97f4a7c15ULL);
  }
};
