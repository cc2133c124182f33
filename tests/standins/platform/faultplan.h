// What the platform stand-in does wrong, set through its control endpoints.
#pragma once

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <mutex>
#include <random>

namespace oriolevane::standins {

enum class Outage
{
  None,
  // Requests are answered at once that the store is away.
  Refuse,
  // Requests get no answer and have no effect.
  Hang,
  // Requests get no answer; their effect comes when the outage ends.
  Late
};

// What happens to one request.
enum class Admission
{
  Serve,
  Refuse,
  // No effect, no answer.
  Drop,
  // Effect, no answer.
  ServeSilently
};

// Thread-safe.
class FaultPlan
{
public:
  explicit FaultPlan(std::uint64_t aSeed);

  void SetOutage(Outage aOutage);
  void SetDelay(std::chrono::milliseconds aDelay);
  // The answers of the next aCount commits that take effect are lost.
  void LoseNextAnswers(std::uint64_t aCount);
  // Each later commit loses its answer with this probability, 0 to 1.
  void SetLossProbability(double aProbability);

  // Blocks for the delay and for an outage that keeps requests waiting.
  Admission Admit();
  // Called after a commit took effect.
  bool LosesAnswer();
  // Lets all waiting requests go; no later one waits.
  void Stop();

private:
  std::mutex mMutex;
  std::condition_variable mChanged;
  std::mt19937_64 mRandom;
  Outage mOutage = Outage::None;
  std::chrono::milliseconds mDelay{ 0 };
  std::uint64_t mAnswersToLose = 0;
  double mLossProbability = 0;
  bool mStopped = false;
};

} // namespace oriolevane::standins
