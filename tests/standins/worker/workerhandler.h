// The requests that the worker stand-in understands.
#pragma once

#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>

#include "standins/worker/workerfleet.h"

namespace oriolevane::standins {

// The fleet must outlive the factory.
class WorkerHandlerFactory : public Poco::Net::HTTPRequestHandlerFactory
{
public:
  explicit WorkerHandlerFactory(WorkerFleet& aFleet)
    : mFleet(aFleet)
  {
  }
  Poco::Net::HTTPRequestHandler* createRequestHandler(
    const Poco::Net::HTTPServerRequest& aRequest) override;

private:
  WorkerFleet& mFleet;
};

} // namespace oriolevane::standins
