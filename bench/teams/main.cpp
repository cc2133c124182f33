// Measures the lookup of API keys: 150 teams with 10,000 keys of 40 bytes.
#include <chrono>
#include <cstdio>
#include <random>
#include <string>
#include <vector>

#include <fmt/format.h>

#include "teams/keytable.h"

namespace {

using namespace oriolevane;

constexpr std::size_t kTeams = 150;
constexpr std::size_t kKeys = 10'000;
constexpr std::size_t kKeyBytes = 40;
constexpr int kRounds = 100;

std::vector<std::string>
RandomKeys(std::mt19937_64& aRandom, std::size_t aCount)
{
  std::uniform_int_distribution<int> letter('a', 'z');
  std::vector<std::string> keys(aCount, std::string(kKeyBytes, ' '));
  for (std::string& key : keys) {
    for (char& character : key) {
      character = static_cast<char>(letter(aRandom));
    }
  }
  return keys;
}

// Prints the mean time of a lookup, and checks how many succeed.
bool
Measure(const char* aName,
        const teams::KeyTable& aTable,
        const std::vector<std::string>& aKeys,
        std::size_t aExpected)
{
  std::size_t found = 0;
  const auto start = std::chrono::steady_clock::now();
  for (int round = 0; round < kRounds; ++round) {
    for (const std::string& key : aKeys) {
      found += aTable.Find(key).has_value() ? 1 : 0;
    }
  }
  const std::chrono::duration<double, std::nano> time =
    std::chrono::steady_clock::now() - start;
  const double lookups = static_cast<double>(aKeys.size()) * kRounds;
  fmt::print("{}: {:.0f} ns a lookup\n", aName, time.count() / lookups);
  return found == aExpected * kRounds;
}

} // namespace

int
main()
{
  constexpr std::uint64_t kSeed = 1;
  std::mt19937_64 random(kSeed);
  const std::vector<std::string> known = RandomKeys(random, kKeys);
  const std::vector<std::string> unknown = RandomKeys(random, kKeys);
  std::vector<teams::TeamPolicy> policies(kTeams);
  for (std::size_t key = 0; key < kKeys; ++key) {
    policies[key % kTeams].mName = TeamId(fmt::format("team-{}", key % kTeams));
    policies[key % kTeams].mKeys.push_back(known[key]);
  }
  const auto start = std::chrono::steady_clock::now();
  const teams::KeyTable table(policies, random());
  const std::chrono::duration<double, std::milli> built =
    std::chrono::steady_clock::now() - start;
  fmt::print("table built in {:.2f} ms\n", built.count());
  const bool valid = Measure("known keys", table, known, kKeys) &&
                     Measure("unknown keys", table, unknown, 0);
  return valid ? 0 : 1;
}
