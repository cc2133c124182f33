// Maps HTTP calls to the node's hooks. Free of sockets.
#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>

#include "gateway/problem.h"
#include "gateway/types/gatewayhooks.h"
#include "gateway/types/httpexchange.h"

namespace oriolevane::gateway {

struct RouterOptions
{
  std::chrono::milliseconds mCallerTimeout{ 60'000 };
  // Time given to calls that do not wait for an outcome.
  std::chrono::milliseconds mShortTimeout{ 5'000 };
  // Callers that may wait at a time.
  std::uint32_t mMostWaiting = 224;
  // Makes the ids of requests without a key; differs for each node and start.
  std::uint64_t mSeed = 1;
};

// Safe for any number of threads.
class Router
{
public:
  Router(RouterOptions aOptions, GatewayHooks aHooks);

  HttpAnswer Route(const HttpCall& aCall);

private:
  HttpAnswer RouteRequests(const HttpCall& aCall);
  HttpAnswer RouteConfiguration(const HttpCall& aCall);
  HttpAnswer RouteViews(const HttpCall& aCall);
  HttpAnswer Submit(const HttpCall& aCall);
  HttpAnswer Status(const HttpCall& aCall, bool aExplain);
  HttpAnswer Cancel(const HttpCall& aCall);
  HttpAnswer ShowConfiguration() const;
  HttpAnswer PatchConfiguration(const HttpCall& aCall);
  HttpAnswer ShowHistory(const HttpCall& aCall) const;
  HttpAnswer ShowPatch(const std::string& aPatchId) const;
  HttpAnswer ShowReadiness() const;
  std::string FreshId();

  RouterOptions mOptions;
  GatewayHooks mHooks;
  std::atomic<std::uint64_t> mCounter{ 0 };
  std::atomic<std::uint32_t> mWaiting{ 0 };
};

HttpAnswer
ProblemAnswer(const Problem& aProblem);

} // namespace oriolevane::gateway
