#include "cellnode/callerauthorizer.h"

#include <utility>

namespace oriolevane::cellnode {

namespace {

using namespace std::chrono_literals;

// Time in which the other node, or this one, reads the newer configuration.
constexpr std::chrono::milliseconds kRetryAfterOlderConfiguration = 300ms;
// A node proves its configuration again about once a second.
constexpr std::chrono::milliseconds kRetryAfterStaleConfiguration = 1000ms;

CallerAuthorization
Refusal(CallerAnswer aAnswer)
{
  return { .mRefusal = std::move(aAnswer) };
}

// The same for a missing, a malformed and an unknown key, so that the answer
// does not tell them apart.
CallerAuthorization
KeyUnknown()
{
  return Refusal({ .mKind = CallerAnswerKind::Unauthorized,
                   .mMessage = "a valid API key is required" });
}

// Refuses a request whose key cannot be judged at the moment. A job that was
// accepted before may run, so its submission has an unknown outcome.
CallerAuthorization
NotDecidable(const CallerRequest& aRequest,
             const AuthorizationTarget& aTarget,
             std::chrono::milliseconds aRetryAfter)
{
  if (aRequest.mVerb == CallerVerb::Submit && aTarget.mJobKnown) {
    return Refusal({ .mKind = CallerAnswerKind::Undetermined,
                     .mMessage = "the configuration is being read" });
  }
  return Refusal({ .mKind = CallerAnswerKind::Refused,
                   .mRetryAfter = aRetryAfter,
                   .mMessage = "the configuration is being read" });
}

} // namespace

CallerAuthorizer::CallerAuthorizer(const CallerAuthorizerOptions& aOptions)
  : mHashSeed(aOptions.mHashSeed)
  , mFreshness(aOptions.mKeyWithdrawal)
{
}

void
CallerAuthorizer::Configure(const jobs::CellConfiguration& aConfiguration)
{
  mVersion = aConfiguration.mVersion;
  mKeys.reset();
  if (aConfiguration.mTeams.has_value()) {
    mKeys.emplace(*aConfiguration.mTeams, mHashSeed);
  }
}

CallerAuthorization
CallerAuthorizer::Authorize(const CallerRequest& aRequest,
                            const AuthorizationTarget& aTarget,
                            BootTimePoint aNow) const
{
  if (!mKeys.has_value()) {
    return { .mUnrestricted = true };
  }
  if (aTarget.mPublic) {
    return {};
  }
  switch (aRequest.mCredential) {
    case CredentialKind::Unknown:
      // The node of an older build that forwarded the request may have received
      // a key.
      return NotDecidable(aRequest, aTarget, kRetryAfterStaleConfiguration);
    case CredentialKind::Repeated:
      return Refusal({ .mKind = CallerAnswerKind::Malformed,
                       .mMessage = "several Authorization headers" });
    case CredentialKind::Absent:
    case CredentialKind::Malformed:
      return KeyUnknown();
    case CredentialKind::Key:
      break;
  }
  return AuthorizeKey(aRequest, aTarget, aNow);
}

CallerAuthorization
CallerAuthorizer::AuthorizeKey(const CallerRequest& aRequest,
                               const AuthorizationTarget& aTarget,
                               BootTimePoint aNow) const
{
  if (aRequest.mVersion > mVersion) {
    return NotDecidable(aRequest, aTarget, kRetryAfterOlderConfiguration);
  }
  const bool fresh = mFreshness.IsFresh(aNow);
  const std::optional<TeamId> team = mKeys->Find(aRequest.mKey);
  if (!team.has_value()) {
    return fresh
             ? KeyUnknown()
             : NotDecidable(aRequest, aTarget, kRetryAfterStaleConfiguration);
  }
  // The forwarding node's configuration was the newest one when the request
  // arrived there, so this one, of the same version, was as well.
  const bool provenByForwarder =
    aRequest.mConfigurationFresh && aRequest.mVersion == mVersion;
  if (!fresh && !provenByForwarder) {
    return NotDecidable(aRequest, aTarget, kRetryAfterStaleConfiguration);
  }
  return { .mTeam = *team };
}

} // namespace oriolevane::cellnode
