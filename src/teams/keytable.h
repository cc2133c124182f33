// Finds the team that an API key belongs to.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "framework/types/ids.h"
#include "teams/types/teampolicy.h"

namespace oriolevane::teams {

// The keys of one configuration version. A lookup costs one hash, and the time
// that a comparison takes does not depend on how much of a key is right.
class KeyTable
{
public:
  // aHashSeed must be random and secret, so that nobody can choose keys whose
  // hashes collide.
  KeyTable(const std::vector<TeamPolicy>& aTeams, std::uint64_t aHashSeed);

  // Returns nothing when no team has the key.
  std::optional<TeamId> Find(std::string_view aKey) const;

private:
  struct Entry
  {
    std::string mKey;
    TeamId mTeam;
  };

  std::uint64_t mHashSeed;
  std::unordered_multimap<std::uint64_t, Entry> mEntries;
};

} // namespace oriolevane::teams
