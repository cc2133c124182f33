#include "cellnode/internal/configurationtracker.h"

#include <string>
#include <vector>

#include "cellnode/tests/testgroups.h"

namespace oriolevane {

using testing::Section;
using namespace cellnode;
using namespace std::chrono_literals;

namespace {

// Between a feed call that failed and the next one.
constexpr std::chrono::milliseconds kRetryPause = 200ms;

// A node whose store holds one configuration. The value of the row is the
// version, and "x" is an invalid one; each version has the one key "key-N".
struct Fixture
{
  eventloop::EventLoop mLoop;
  ExternalFormats mFormats{
    .mConfigurationRow = { .mTable = "op", .mName = "config" },
    .mDecodeConfiguration =
      [](std::string_view aText) -> absl::StatusOr<jobs::CellConfiguration> {
      if (aText == "x") {
        return absl::InvalidArgumentError("invalid");
      }
      const std::string text(aText);
      return jobs::CellConfiguration{
        .mVersion = ConfigurationVersion(std::stoull(text)),
        .mTeams = { { { .mName = TeamId("t"), .mKeys = { "key-" + text } } } }
      };
    }
  };
  std::vector<std::string> mValues;
  std::vector<FeedQuery> mFeeds;
  std::vector<Duration> mFeedTimeouts;
  std::vector<ConfigurationVersion> mInForce;
  RowStoreHooks mStore;
  std::optional<ConfigurationTracker> mTracker;

  // The store returns one value after another, and then stops the loop.
  explicit Fixture(
    std::vector<std::string> aValues,
    std::optional<std::chrono::milliseconds> aKeyWithdrawal = 5000ms)
    : mValues(std::move(aValues))
  {
    mStore.mRead = [this](const RowQuery&, Duration, const auto& aDone) {
      aDone(NextPage());
    };
    mStore.mFeed =
      [this](const FeedQuery& aQuery, Duration aTimeout, const auto& aDone) {
        mFeeds.push_back(aQuery);
        mFeedTimeouts.push_back(aTimeout);
        if (mFeeds.size() < mValues.size()) {
          aDone(NextPage());
        } else {
          mLoop.Stop();
        }
      };
    mTracker.emplace(
      mLoop,
      mStore,
      mFormats,
      CallerAuthorizerOptions{ .mKeyWithdrawal = aKeyWithdrawal },
      [this](const jobs::CellConfiguration& aConfiguration) {
        mInForce.push_back(aConfiguration.mVersion);
      });
    mLoop.Post([this] { mTracker->Start(); });
    mLoop.Run();
  }
  RowPage NextPage()
  {
    const std::string& value = mValues.at(mFeeds.size());
    const RowVersion version(mFeeds.size() + 1);
    return { .mRows = { { .mKey = mFormats.mConfigurationRow,
                          .mValue = value,
                          .mVersion = version } },
             .mVersion = version };
  }
  bool Serves(const CallerRequest& aRequest, BootTimePoint aNow) const
  {
    return !mTracker->Authorize(aRequest, {}, aNow).mRefusal.has_value();
  }
  // Returns a request that has arrived at this node.
  CallerRequest Arrived(const std::string& aKey, BootTimePoint aNow) const
  {
    CallerRequest request{ .mCredential = CredentialKind::Key, .mKey = aKey };
    mTracker->Stamp(request, aNow);
    return request;
  }
};

void
DescribeVersions(Section& aRoot)
{
  aRoot.Describe("a node's configuration", [](Section& aSection) {
    aSection.It("is the newest valid version, with its keys", [] {
      const Fixture fixture({ "1", "2" });
      const BootTimePoint now = BootClock::Now();
      CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, fixture.mInForce.size());
      CPPUNIT_ASSERT(fixture.Serves(fixture.Arrived("key-2", now), now));
      CPPUNIT_ASSERT(!fixture.Serves(fixture.Arrived("key-1", now), now));
    });
    // The keys of the version that stays in force must go on working.
    aSection.It("stays in force when the next version is invalid", [] {
      const Fixture fixture({ "1", "x" });
      const BootTimePoint now = BootClock::Now();
      CPPUNIT_ASSERT(fixture.mTracker->Version() == ConfigurationVersion(1));
      CPPUNIT_ASSERT(fixture.Serves(fixture.Arrived("key-1", now), now));
    });
    // A withdrawn key would work again.
    aSection.It("is not replaced by an older version", [] {
      const Fixture fixture({ "3", "2" });
      CPPUNIT_ASSERT(fixture.mTracker->Version() == ConfigurationVersion(3));
    });
  });
}

void
DescribeStaleness(Section& aRoot)
{
  aRoot.Describe("a node that was paused or cut off", [](Section& aSection) {
    // The node wakes with a request that arrived meanwhile, before any answer
    // of the store.
    aSection.It("proves nothing for other nodes and serves no key", [] {
      const Fixture fixture({ "1" });
      const BootTimePoint now = BootClock::Now();
      CPPUNIT_ASSERT(fixture.Arrived("key-1", now).mConfigurationFresh);
      const CallerRequest late = fixture.Arrived("key-1", now + 5000ms);
      CPPUNIT_ASSERT(!late.mConfigurationFresh);
      CPPUNIT_ASSERT(!fixture.Serves(late, now + 5000ms));
    });
  });
  aRoot.Describe(
    "a node that has seen a newer version's effect", [](Section& aSection) {
      // The next owner may not have read that version yet.
      aSection.It("makes the next owner answer by that version", [] {
        Fixture fixture({ "1" });
        fixture.mTracker->OnVersionObserved(ConfigurationVersion(2));
        const BootTimePoint now = BootClock::Now();
        const CallerRequest request = fixture.Arrived("key-1", now);
        CPPUNIT_ASSERT(request.mVersion == ConfigurationVersion(2));
        CPPUNIT_ASSERT(!request.mConfigurationFresh);
        CPPUNIT_ASSERT(!fixture.Serves(request, now));
      });
    });
  // The age counts from the time at which a call is sent. In the worst case one
  // call is lost just before its answer, and the next one takes all its time.
  aRoot.It(
    "the store is asked often enough for the bound when a call is lost", [] {
      constexpr std::chrono::milliseconds kRetryPause = 200ms;
      const Fixture fixture({ "1" });
      const Duration wait = fixture.mFeeds.at(0).mWait;
      const Duration answer = fixture.mFeedTimeouts.at(0) - wait;
      const Duration age = wait + (wait + answer) + kRetryPause + 2 * answer;
      CPPUNIT_ASSERT(age < 5000ms - ConfigurationFreshness::kMargin);
    });
  // A node has to use a new version within 3 s. In the worst case the answer
  // that would have delivered it is lost.
  aRoot.It("a new version arrives in time when a call is lost", [] {
    const Fixture fixture({ "1" }, std::nullopt);
    const Duration wait = fixture.mFeeds.at(0).mWait;
    const Duration answer = fixture.mFeedTimeouts.at(0) - wait;
    CPPUNIT_ASSERT(wait + answer + kRetryPause + answer < 3000ms);
  });
}

} // namespace

void
ConfigurationTrackerTests(Section& aRoot)
{
  DescribeVersions(aRoot);
  DescribeStaleness(aRoot);
}

} // namespace oriolevane
