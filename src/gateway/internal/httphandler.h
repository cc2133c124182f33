// Reads one HTTP request within the limits, routes it and writes the response.
#pragma once

#include <atomic>
#include <chrono>
#include <cstddef>
#include <functional>

#include <Poco/Net/HTTPRequestHandler.h>

#include "gateway/router.h"

namespace oriolevane::gateway {

struct HttpHandlerLimits
{
  std::size_t mMaxBodyBytes = 0;
  std::chrono::milliseconds mBodyTimeout{ 0 };
  // Set for a planned stop: each connection is closed after its next response.
  const std::atomic<bool>* mClosing = nullptr;
  // True while so many connections are held that further ones would soon wait:
  // each is then closed after its next response, too.
  std::function<bool()> mCrowded = [] { return false; };
};

// Made per request, as Poco wants; the router outlives it.
class HttpHandler : public Poco::Net::HTTPRequestHandler
{
public:
  HttpHandler(Router& aRouter, HttpHandlerLimits aLimits);

  void handleRequest(Poco::Net::HTTPServerRequest& aRequest,
                     Poco::Net::HTTPServerResponse& aResponse) override;

private:
  HttpAnswer Answer(Poco::Net::HTTPServerRequest& aRequest);

  Router& mRouter;
  HttpHandlerLimits mLimits;
};

} // namespace oriolevane::gateway
