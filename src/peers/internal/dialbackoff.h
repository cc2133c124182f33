// When a node is dialled again after a dial failed or a connection broke.
#pragma once

#include <chrono>
#include <cstddef>
#include <random>

namespace oriolevane::peers {

// Doubles from one failure to the next; each wait is drawn between half of it
// and the whole, so that nodes which lost each other at once don't dial at
// once.
class DialBackoff
{
public:
  DialBackoff(std::chrono::milliseconds aLeast,
              std::chrono::milliseconds aMost);

  std::chrono::milliseconds Next(std::mt19937_64& aRandom);
  // After a connection that came up.
  void Reset() { mCurrent = mLeast; }

private:
  std::chrono::milliseconds mLeast;
  std::chrono::milliseconds mMost;
  std::chrono::milliseconds mCurrent;
};

} // namespace oriolevane::peers
