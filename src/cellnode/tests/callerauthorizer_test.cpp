#include "cellnode/callerauthorizer.h"

#include "cellnode/tests/testgroups.h"

namespace oriolevane {

using testing::Section;
using namespace cellnode;
using namespace std::chrono_literals;

namespace {

constexpr BootTimePoint kProven(100s);
constexpr BootTimePoint kSoon = kProven + 4749ms;
constexpr BootTimePoint kLate = kProven + 4750ms;

const AuthorizationTarget kNewJob{};
const AuthorizationTarget kKnownJob{ .mJobKnown = true };

CallerRequest
WithKey(const std::string& aKey, CallerVerb aVerb = CallerVerb::Query)
{
  return { .mVerb = aVerb,
           .mVersion = ConfigurationVersion(2),
           .mCredential = CredentialKind::Key,
           .mKey = aKey };
}

// An owner with version 2, which was the newest one at kProven. It withdrew the
// key "old".
CallerAuthorizer
Authorizer(std::optional<std::chrono::milliseconds> aKeyWithdrawal = 5000ms)
{
  CallerAuthorizer authorizer(
    { .mHashSeed = 5, .mKeyWithdrawal = aKeyWithdrawal });
  authorizer.Configure(
    { .mVersion = ConfigurationVersion(1),
      .mTeams = { { { .mName = TeamId("t"), .mKeys = { "old" } } } } });
  authorizer.Configure(
    { .mVersion = ConfigurationVersion(2),
      .mTeams = { { { .mName = TeamId("t"), .mKeys = { "key" } } } } });
  authorizer.Freshness().OnProven(kProven);
  return authorizer;
}

// Returns nothing when the request is authorized.
std::optional<CallerAnswerKind>
Refusal(const CallerAuthorizer& aAuthorizer,
        const CallerRequest& aRequest,
        BootTimePoint aNow,
        const AuthorizationTarget& aTarget = kNewJob)
{
  const CallerAuthorization result =
    aAuthorizer.Authorize(aRequest, aTarget, aNow);
  return result.mRefusal.has_value() ? std::optional(result.mRefusal->mKind)
                                     : std::nullopt;
}

void
DescribeKeys(Section& aRoot)
{
  aRoot.Describe("a key", [](Section& aSection) {
    aSection.It("of a team authorizes the request for that team", [] {
      const CallerAuthorization result =
        Authorizer().Authorize(WithKey("key"), kNewJob, kSoon);
      CPPUNIT_ASSERT(!result.mRefusal.has_value());
      CPPUNIT_ASSERT(result.mTeam == TeamId("t"));
    });
    aSection.It("that is unknown or withdrawn is refused", [] {
      for (const char* key : { "other", "old", "ke", "key2", "" }) {
        CPPUNIT_ASSERT(Refusal(Authorizer(), WithKey(key), kSoon) ==
                       CallerAnswerKind::Unauthorized);
      }
    });
    aSection.It("is needed, except for public queues", [] {
      const CallerRequest request{ .mVersion = ConfigurationVersion(2) };
      CPPUNIT_ASSERT(Refusal(Authorizer(), request, kSoon) ==
                     CallerAnswerKind::Unauthorized);
      CPPUNIT_ASSERT(!Refusal(Authorizer(), request, kSoon, { .mPublic = true })
                        .has_value());
    });
    aSection.It("is not needed without teams", [] {
      CallerAuthorizer authorizer({ .mKeyWithdrawal = 5000ms });
      authorizer.Configure({ .mVersion = ConfigurationVersion(1) });
      const CallerAuthorization result =
        authorizer.Authorize({}, kNewJob, kLate);
      CPPUNIT_ASSERT(!result.mRefusal.has_value());
      CPPUNIT_ASSERT(result.MayAccessJobOf(TeamId("any")));
    });
    // A refusal that differs would show which keys exist.
    aSection.It("gets the same answer when missing, malformed or unknown", [] {
      CallerRequest malformed = WithKey("");
      malformed.mCredential = CredentialKind::Malformed;
      const auto message = [](const CallerRequest& aRequest) {
        return Authorizer()
          .Authorize(aRequest, kNewJob, kSoon)
          .mRefusal->mMessage;
      };
      CPPUNIT_ASSERT_EQUAL(message({}), message(malformed));
      CPPUNIT_ASSERT_EQUAL(message({}), message(WithKey("other")));
    });
    aSection.It("is ambiguous with two headers", [] {
      CallerRequest request = WithKey("key");
      request.mCredential = CredentialKind::Repeated;
      CPPUNIT_ASSERT(Refusal(Authorizer(), request, kSoon) ==
                     CallerAnswerKind::Malformed);
    });
    // A node of an older build drops the header, so a 401 would refuse a valid
    // key.
    aSection.It("that was not forwarded may have been valid", [] {
      CallerRequest request = WithKey("");
      request.mCredential = CredentialKind::Unknown;
      CPPUNIT_ASSERT(Refusal(Authorizer(), request, kSoon) ==
                     CallerAnswerKind::Refused);
    });
  });
}

void
DescribeStaleConfiguration(Section& aRoot)
{
  aRoot.Describe("an owner with a stale configuration", [](Section& aSection) {
    // The owner was paused or cannot reach the store; the key may have been
    // withdrawn or added meanwhile.
    aSection.It("serves no key and calls none unknown", [] {
      for (const char* key : { "key", "other" }) {
        const CallerAuthorization result =
          Authorizer().Authorize(WithKey(key), kNewJob, kLate);
        CPPUNIT_ASSERT(result.mRefusal->mKind == CallerAnswerKind::Refused);
        CPPUNIT_ASSERT(result.mRefusal->mRetryAfter > 0ms);
      }
    });
    // With 503, the caller would take a job that may run for refused.
    aSection.It("leaves open what became of a job that it knows", [] {
      CPPUNIT_ASSERT(Refusal(Authorizer(),
                             WithKey("key", CallerVerb::Submit),
                             kLate,
                             kKnownJob) == CallerAnswerKind::Undetermined);
    });
    aSection.It("serves a key when the forwarding node proves it", [] {
      CallerRequest request = WithKey("key");
      request.mConfigurationFresh = true;
      CPPUNIT_ASSERT(!Refusal(Authorizer(), request, kLate).has_value());
    });
    // The forwarding node's proof says nothing of a version that it does not
    // have.
    aSection.It("takes no proof for another version than its own", [] {
      CallerRequest request = WithKey("key");
      request.mConfigurationFresh = true;
      request.mVersion = ConfigurationVersion(1);
      CPPUNIT_ASSERT(Refusal(Authorizer(), request, kLate) ==
                     CallerAnswerKind::Refused);
    });
    aSection.It("serves keys as before without strict withdrawal", [] {
      CPPUNIT_ASSERT(
        !Refusal(Authorizer(std::nullopt), WithKey("key"), kLate).has_value());
      CPPUNIT_ASSERT(Refusal(Authorizer(std::nullopt), WithKey("x"), kLate) ==
                     CallerAnswerKind::Unauthorized);
    });
    aSection.It("is fresh again once it was confirmed", [] {
      CallerAuthorizer authorizer = Authorizer();
      authorizer.Freshness().OnProven(kLate);
      // A response that arrives late must not take the proof back.
      authorizer.Freshness().OnProven(kProven);
      CPPUNIT_ASSERT(!Refusal(authorizer, WithKey("key"), kLate).has_value());
    });
  });
  aRoot.It("an owner that has read no configuration is not fresh", [] {
    CPPUNIT_ASSERT(!ConfigurationFreshness(5000ms).IsFresh(kProven));
  });
  // After a change of owner, a key that was seen to be withdrawn would work
  // again.
  aRoot.It(
    "an owner with an older version than the request names serves no key", [] {
      CallerRequest request = WithKey("key");
      request.mVersion = ConfigurationVersion(3);
      CPPUNIT_ASSERT(Refusal(Authorizer(), request, kSoon, kKnownJob) ==
                     CallerAnswerKind::Refused);
    });
}

} // namespace

void
CallerAuthorizerTests(Section& aRoot)
{
  DescribeKeys(aRoot);
  DescribeStaleConfiguration(aRoot);
}

} // namespace oriolevane
