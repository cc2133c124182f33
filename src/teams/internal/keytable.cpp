#include "teams/keytable.h"

#include <xxhash.h>

namespace oriolevane::teams {

namespace {

bool
EqualInConstantTime(std::string_view aLeft, std::string_view aRight)
{
  if (aLeft.size() != aRight.size()) {
    return false;
  }
  unsigned difference = 0;
  for (std::size_t index = 0; index < aLeft.size(); ++index) {
    difference |= static_cast<unsigned char>(aLeft[index]) ^
                  static_cast<unsigned char>(aRight[index]);
  }
  return difference == 0;
}

} // namespace

KeyTable::KeyTable(const std::vector<TeamPolicy>& aTeams,
                   std::uint64_t aHashSeed)
  : mHashSeed(aHashSeed)
{
  for (const TeamPolicy& team : aTeams) {
    for (const std::string& key : team.mKeys) {
      mEntries.emplace(XXH3_64bits_withSeed(key.data(), key.size(), mHashSeed),
                       Entry{ .mKey = key, .mTeam = team.mName });
    }
  }
}

std::optional<TeamId>
KeyTable::Find(std::string_view aKey) const
{
  const auto [begin, end] = mEntries.equal_range(
    XXH3_64bits_withSeed(aKey.data(), aKey.size(), mHashSeed));
  for (auto entry = begin; entry != end; ++entry) {
    if (EqualInConstantTime(entry->second.mKey, aKey)) {
      return entry->second.mTeam;
    }
  }
  return std::nullopt;
}

} // namespace oriolevane::teams
