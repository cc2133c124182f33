// Keeps the configuration that is in force on a node: reads it from the store,
// follows its changes, and judges the keys of callers by it.
#pragma once

#include <functional>
#include <memory>
#include <optional>

#include "cellnode/callerauthorizer.h"
#include "cellnode/internal/tablewatch.h"
#include "cellnode/types/caller.h"
#include "cellnode/types/nodehooks.h"
#include "eventloop/eventloop.h"
#include "jobs/types/cellconfiguration.h"

namespace oriolevane::cellnode {

class ConfigurationTracker
{
public:
  // Calls aOnChange for each version that comes into force.
  ConfigurationTracker(
    eventloop::EventLoop& aLoop,
    const RowStoreHooks& aStore,
    const ExternalFormats& aFormats,
    const CallerAuthorizerOptions& aOptions,
    std::function<void(const jobs::CellConfiguration&)> aOnChange);

  void Start() { mWatch.Start(); }
  // Nothing until a valid version has been read.
  const std::optional<jobs::CellConfiguration>& Current() const
  {
    return mCurrent;
  }
  // The version in force; 0 when there is none.
  ConfigurationVersion Version() const;
  // Notes the version by which an owner has answered. Requests of this node
  // name it from now on, so that no later owner answers them by an older one.
  void OnVersionObserved(ConfigurationVersion aVersion);
  // Adds to a request that has arrived at this node which version it must be
  // answered by at least, and whether this node's own was the newest one.
  void Stamp(CallerRequest& aRequest, BootTimePoint aNow) const;
  CallerAuthorization Authorize(const CallerRequest& aRequest,
                                const AuthorizationTarget& aTarget,
                                BootTimePoint aNow) const;
  // Writes a log line when the configuration has become stale or fresh.
  void LogFreshness(BootTimePoint aNow);
  // The time for which the configuration has not been known to be the newest
  // one; nothing until it was read for the first time.
  std::optional<BootDuration> Age(BootTimePoint aNow) const
  {
    return mAuthorizer.Freshness().Age(aNow);
  }

private:
  void OnRow(const Row& aRow);

  const ExternalFormats& mFormats;
  std::function<void(const jobs::CellConfiguration&)> mOnChange;
  CallerAuthorizer mAuthorizer;
  std::optional<jobs::CellConfiguration> mCurrent;
  // The highest version by which an owner has answered.
  ConfigurationVersion mObserved;
  // What was logged last. A configuration is fresh when it has just been read,
  // so that the first line reports a stale one.
  bool mLoggedFresh = true;
  TableWatch mWatch;
};

} // namespace oriolevane::cellnode
