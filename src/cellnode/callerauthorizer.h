// Decides whether a caller may make a request, by the key that the request
// carries.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>

#include "cellnode/configurationfreshness.h"
#include "cellnode/types/caller.h"
#include "framework/types/boottime.h"
#include "framework/types/ids.h"
#include "jobs/types/cellconfiguration.h"
#include "teams/keytable.h"

namespace oriolevane::cellnode {

struct CallerAuthorizerOptions
{
  // Random and secret; see teams::KeyTable.
  std::uint64_t mHashSeed = 0;
  // The time after which a withdrawn key must have no effect. Without it, the
  // age of the configuration does not matter.
  std::optional<std::chrono::milliseconds> mKeyWithdrawal;
};

// What a request addresses.
struct AuthorizationTarget
{
  // True when anyone may make the request.
  bool mPublic = false;
  // True when the path names a job that the owner knows.
  bool mJobKnown = false;
};

struct CallerAuthorization
{
  // The answer to a request that must not be carried out.
  std::optional<CallerAnswer> mRefusal;
  // The team of the caller's key; empty when none was needed.
  TeamId mTeam;
  // True when the configuration has no teams, so that jobs are not protected.
  bool mUnrestricted = false;

  // Whether the caller may know of a job of this team. Jobs without a team are
  // accessible to everyone.
  bool MayAccessJobOf(const TeamId& aTeam) const
  {
    return mUnrestricted || aTeam.Empty() || aTeam == mTeam;
  }
};

// Used by the owner of the shard, so that requests to different nodes never
// show the effect of a newer configuration and then that of an older one.
// Without a clock of its own.
class CallerAuthorizer
{
public:
  explicit CallerAuthorizer(const CallerAuthorizerOptions& aOptions);

  void Configure(const jobs::CellConfiguration& aConfiguration);
  ConfigurationFreshness& Freshness() { return mFreshness; }
  const ConfigurationFreshness& Freshness() const { return mFreshness; }
  // aNow must be read after the request has arrived. The result is valid only
  // in the same callback of the event loop.
  CallerAuthorization Authorize(const CallerRequest& aRequest,
                                const AuthorizationTarget& aTarget,
                                BootTimePoint aNow) const;

private:
  CallerAuthorization AuthorizeKey(const CallerRequest& aRequest,
                                   const AuthorizationTarget& aTarget,
                                   BootTimePoint aNow) const;

  std::uint64_t mHashSeed;
  ConfigurationFreshness mFreshness;
  ConfigurationVersion mVersion;
  // Nothing when callers need no keys.
  std::optional<teams::KeyTable> mKeys;
};

} // namespace oriolevane::cellnode
