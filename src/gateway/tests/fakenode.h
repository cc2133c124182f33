// A node behind the gateway that answers as it is told and keeps what it was
// asked.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include <cppunit/TestAssert.h>
#include <nlohmann/json.hpp>

#include "gateway/router.h"

namespace oriolevane::gateway {

struct FakeNode
{
  protocol::RequestStatus mStatus{ .mId = RequestId("r1"),
                                   .mOutcome = protocol::Outcome::Ran };
  // Runs within each call to the node.
  std::function<void()> mDuringCall = [] {};
  std::vector<protocol::CallBody> mCalls;
  std::vector<std::chrono::milliseconds> mTimeouts;
  Readiness mReadiness{ .mReady = true };
  configuration::PatchOutcome mPatchOutcome;
  std::vector<configuration::PatchRequest> mPatches;
  absl::StatusOr<std::vector<configuration::HistoryEntry>> mHistory =
    std::vector<configuration::HistoryEntry>{};

  GatewayHooks Hooks()
  {
    return {
      .mCall =
        [this](const protocol::CallBody& aCall,
               std::chrono::milliseconds aTimeout) {
          mDuringCall();
          mCalls.push_back(aCall);
          mTimeouts.push_back(aTimeout);
          return mStatus;
        },
      .mReadiness = [this] { return mReadiness; },
      .mNodes =
        [] {
          return std::vector<NodeInfo>{
            { .mNode = NodeId("n1"), .mVersion = ConfigurationVersion(7) },
            { .mNode = NodeId("n2"), .mVersion = ConfigurationVersion(6) }
          };
        },
      .mShards = [] { return std::vector<protocol::ShardDigest>{}; },
      .mWorkers = [] { return std::vector<protocol::WorkerInfo>{}; },
      .mConfiguration =
        [] {
          return configuration::VersionedBody{ ConfigurationVersion(7),
                                               R"({"teams":{}})" };
        },
      .mApplyPatch =
        [this](const configuration::PatchRequest& aPatch) {
          mPatches.push_back(aPatch);
          return mPatchOutcome;
        },
      .mFindPatch =
        [this](const std::string&) {
          return absl::StatusOr<configuration::PatchOutcome>(mPatchOutcome);
        },
      .mHistory = [this](ConfigurationVersion,
                         std::size_t) { return mHistory; },
      .mReport = [] { return std::string("{}"); },
      .mMetrics = [] { return std::string("up 1\n"); }
    };
  }

  HttpAnswer Route(const HttpCall& aCall, RouterOptions aOptions = {})
  {
    return Router(aOptions, Hooks()).Route(aCall);
  }

  HttpAnswer Submit(const std::string& aBody, const std::string& aKey = "")
  {
    return Route({ .mMethod = "POST",
                   .mPath = { "v1", "requests" },
                   .mBody = aBody,
                   .mIdempotencyKey = aKey });
  }
};

const std::string kGoodBody = R"({"team":"lab","workload":"x","wait":true})";

inline std::string
NestedObjects(int aDepth)
{
  std::string text;
  for (int depth = 0; depth < aDepth; ++depth) {
    text += R"({"a":)";
  }
  return text + "1" + std::string(static_cast<std::size_t>(aDepth), '}');
}

inline nlohmann::json
Body(const HttpAnswer& aAnswer)
{
  return nlohmann::json::parse(aAnswer.mBody);
}

// That it is a problem of this status and type.
inline void
AssertProblem(int aStatus, const std::string& aType, const HttpAnswer& aAnswer)
{
  CPPUNIT_ASSERT_EQUAL_MESSAGE(aAnswer.mBody, aStatus, aAnswer.mStatus);
  CPPUNIT_ASSERT_EQUAL(std::string("application/problem+json"),
                       aAnswer.mContentType);
  CPPUNIT_ASSERT_EQUAL("urn:oriolevane:problem:" + aType,
                       Body(aAnswer).at("type").get<std::string>());
  CPPUNIT_ASSERT_EQUAL(aStatus, Body(aAnswer).at("status").get<int>());
}

} // namespace oriolevane::gateway
