// Measures the coordinator: admission under load against none, and its own
// cost. Prints name=value lines.
#include <array>
#include <cstdint>

#include <fmt/format.h>

#include "costtrial.h"
#include "loadtrial.h"
#include "samples.h"

namespace {

using namespace oriolevane::bench;

constexpr std::uint64_t kRepeats = 5;
constexpr std::array<double, 4> kLoads{ 0.5, 1, 2, 4 };
constexpr std::array<const char*, 3> kUrgencies{ "low", "normal", "urgent" };

void
MeasureLoad(std::uint64_t aSeed, double aLoad, bool aLimit, Samples& aSamples)
{
  const LoadResult result =
    RunLoad({ .mSeed = aSeed, .mLoad = aLoad, .mLimitAdmission = aLimit });
  const std::string name = fmt::format(
    "admission.{}.load_{}", aLimit ? "limited" : "unlimited", aLoad);
  aSamples.Add(name + ".goodput_of_capacity", result.mGoodput);
  aSamples.Add(name + ".refused_share", result.mRefusedShare);
  for (std::size_t level = 0; level < kUrgencies.size(); ++level) {
    aSamples.Add(
      fmt::format("{}.{}_wait_p99_of_tolerated", name, kUrgencies[level]),
      Quantile(result.mWaits[level], 0.99));
    aSamples.Add(
      fmt::format("{}.{}_wait_most_of_tolerated", name, kUrgencies[level]),
      Quantile(result.mWaits[level], 1));
  }
}

void
MeasureCost(std::uint64_t aSeed, Samples& aSamples)
{
  const CostResult cost = RunCost(aSeed);
  aSamples.Add("coordinator.events_per_second", cost.mEventsPerSecond);
  aSamples.Add("coordinator.requests_per_second", cost.mRequestsPerSecond);
  aSamples.Add("coordinator.bytes_per_live_request", cost.mBytesPerLiveRequest);
  aSamples.Add("coordinator.journal_bytes_per_request",
               cost.mJournalBytesPerRequest);
  aSamples.Add("coordinator.journal_bytes_per_never_repeat",
               cost.mJournalBytesPerNeverRepeat);
  aSamples.Add("coordinator.cancels_per_second", cost.mCancelsPerSecond);
  aSamples.Add("coordinator.worst_cancel_us", cost.mWorstCancelMicroseconds);
}

} // namespace

int
main()
{
  Samples samples;
  for (std::uint64_t seed = 1; seed <= kRepeats; ++seed) {
    for (const double load : kLoads) {
      MeasureLoad(seed, load, true, samples);
      MeasureLoad(seed, load, false, samples);
    }
    MeasureCost(seed, samples);
  }
  samples.Print();
  return 0;
}
