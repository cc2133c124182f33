#include "cellnode/internal/configurationtracker.h"

#include <algorithm>
#include <utility>

#include "framework/log.h"

namespace oriolevane::cellnode {

namespace {

using namespace std::chrono_literals;

// When an answer is lost, the change that it would have delivered arrives after
// the wait, the answer timeout and a pause of 200 ms: 2 s of the 3 s in which a
// node has to use a new version.
constexpr std::chrono::milliseconds kMaxFeedWait = 1000ms;
constexpr std::chrono::milliseconds kMaxAnswerTimeout = 800ms;
// With these parts of the withdrawal time, one call may get no answer and the
// next one all its time to answer before the configuration becomes stale:
// 2 waits + 1 + 2 answer timeouts + a pause of 200 ms are 4100 ms of 5000 ms.
constexpr int kFeedWaitPart = 7;
constexpr int kAnswerTimeoutPart = 6;

TableWatchOptions
WatchOptions(const RowKey& aRow,
             std::optional<std::chrono::milliseconds> aKeyWithdrawal)
{
  TableWatchOptions options{ .mTable = aRow.mTable,
                             .mPart = aRow.mPart,
                             .mWait = kMaxFeedWait,
                             .mAnswerTimeout = kMaxAnswerTimeout };
  if (aKeyWithdrawal.has_value()) {
    options.mWait = std::min(kMaxFeedWait, *aKeyWithdrawal / kFeedWaitPart);
    options.mAnswerTimeout =
      std::min(kMaxAnswerTimeout, *aKeyWithdrawal / kAnswerTimeoutPart);
  }
  return options;
}

} // namespace

ConfigurationTracker::ConfigurationTracker(
  eventloop::EventLoop& aLoop,
  const RowStoreHooks& aStore,
  const ExternalFormats& aFormats,
  const CallerAuthorizerOptions& aOptions,
  std::function<void(const jobs::CellConfiguration&)> aOnChange)
  : mFormats(aFormats)
  , mOnChange(std::move(aOnChange))
  , mAuthorizer(aOptions)
  , mWatch(aLoop,
           aStore,
           WatchOptions(aFormats.mConfigurationRow, aOptions.mKeyWithdrawal),
           { .mOnRow = [this](const Row& aRow) { OnRow(aRow); },
             .mOnRemoved = [](const std::string&) {},
             .mOnSynchronized = {},
             .mOnUpToDate =
               [this](BootTimePoint aTime) {
                 mAuthorizer.Freshness().OnProven(aTime);
               } })
{
}

ConfigurationVersion
ConfigurationTracker::Version() const
{
  return mCurrent.has_value() ? mCurrent->mVersion : ConfigurationVersion();
}

void
ConfigurationTracker::OnVersionObserved(ConfigurationVersion aVersion)
{
  mObserved = std::max(mObserved, aVersion);
}

void
ConfigurationTracker::Stamp(CallerRequest& aRequest, BootTimePoint aNow) const
{
  aRequest.mVersion = std::max(Version(), mObserved);
  aRequest.mConfigurationFresh = aRequest.mVersion == Version() &&
                                 mCurrent.has_value() &&
                                 mAuthorizer.Freshness().IsFresh(aNow);
}

CallerAuthorization
ConfigurationTracker::Authorize(const CallerRequest& aRequest,
                                const AuthorizationTarget& aTarget,
                                BootTimePoint aNow) const
{
  return mAuthorizer.Authorize(aRequest, aTarget, aNow);
}

void
ConfigurationTracker::LogFreshness(BootTimePoint aNow)
{
  const bool fresh = mAuthorizer.Freshness().IsFresh(aNow);
  if (!mCurrent.has_value() || fresh == mLoggedFresh) {
    return;
  }
  mLoggedFresh = fresh;
  const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(
    Age(aNow).value_or(BootDuration::zero()));
  LogEvent(fresh ? LogLevel::Info : LogLevel::Warning,
           fresh ? "configuration_fresh" : "configuration_stale")
    .With("version", Version())
    .With("age_ms", age.count());
}

void
ConfigurationTracker::OnRow(const Row& aRow)
{
  if (aRow.mKey.mName != mFormats.mConfigurationRow.mName) {
    return;
  }
  absl::StatusOr<jobs::CellConfiguration> configuration =
    mFormats.mDecodeConfiguration(aRow.mValue);
  if (!configuration.ok()) {
    LogError("configuration_refused")
      .With("row_version", aRow.mVersion)
      .With("status", configuration.status().ToString());
    return;
  }
  if (configuration->mVersion < Version()) {
    return;
  }
  LogInfo("configuration_in_force")
    .With("version", configuration->mVersion)
    .With("queues", configuration->mQueues.size());
  mCurrent = *std::move(configuration);
  mAuthorizer.Configure(*mCurrent);
  mOnChange(*mCurrent);
}

} // namespace oriolevane::cellnode
