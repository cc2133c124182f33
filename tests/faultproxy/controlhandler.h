// The control requests of the proxy:
//   POST /control/faults?link=NAME|*&mode=pass|cut|half-open
//     &silent=none|up|down|both&delayMs=N&jitterMs=N&bytesPerSecond=N
//     (those not named stay as they are)
//   POST /control/silence-existing?link=NAME|*
//   GET  /control/state
#pragma once

#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>

#include "faultproxy/proxyloop.h"

namespace oriolevane::faultproxy {

// The loop must outlive the factory.
class ControlHandlerFactory : public Poco::Net::HTTPRequestHandlerFactory
{
public:
  explicit ControlHandlerFactory(ProxyLoop& aLoop)
    : mLoop(aLoop)
  {
  }
  Poco::Net::HTTPRequestHandler* createRequestHandler(
    const Poco::Net::HTTPServerRequest& aRequest) override;

private:
  ProxyLoop& mLoop;
};

} // namespace oriolevane::faultproxy
