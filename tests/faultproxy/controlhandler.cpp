#include "faultproxy/controlhandler.h"

#include <cstdlib>
#include <map>
#include <string>

#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/URI.h>

namespace oriolevane::faultproxy {

namespace {

using Poco::Net::HTTPResponse;
using Query = std::map<std::string, std::string>;

bool
ApplyMode(const std::string& aName, LinkMode& aMode)
{
  static const std::map<std::string, LinkMode> modes{
    { "pass", LinkMode::Pass },
    { "cut", LinkMode::Cut },
    { "half-open", LinkMode::HalfOpen }
  };
  const auto found = modes.find(aName);
  if (found != modes.end()) {
    aMode = found->second;
  }
  return found != modes.end();
}

// False when a value can't be read.
bool
ApplyQuery(const Query& aQuery, LinkFaults& aFaults)
{
  bool good = true;
  const auto number = [](const std::string& aText) {
    return std::strtoul(aText.c_str(), nullptr, 10);
  };
  for (const auto& [key, value] : aQuery) {
    if (key == "mode") {
      good = good && ApplyMode(value, aFaults.mMode);
    } else if (key == "silent") {
      aFaults.mSilentUp = value == "up" || value == "both";
      aFaults.mSilentDown = value == "down" || value == "both";
    } else if (key == "delayMs") {
      aFaults.mDelay = std::chrono::milliseconds(number(value));
    } else if (key == "jitterMs") {
      aFaults.mJitter = std::chrono::milliseconds(number(value));
    } else if (key == "bytesPerSecond") {
      aFaults.mBytesPerSecond = number(value);
    } else {
      good = good && key == "link";
    }
  }
  return good;
}

class ControlHandler : public Poco::Net::HTTPRequestHandler
{
public:
  explicit ControlHandler(ProxyLoop& aLoop)
    : mLoop(aLoop)
  {
  }

  void handleRequest(Poco::Net::HTTPServerRequest& aRequest,
                     Poco::Net::HTTPServerResponse& aResponse) override
  {
    const Poco::URI uri(aRequest.getURI());
    Query query;
    for (const auto& [key, value] : uri.getQueryParameters()) {
      query[key] = value;
    }
    const std::string body =
      uri.getPath() == "/control/state" ? mLoop.StateJson() : "{}";
    const bool done =
      uri.getPath() == "/control/state" || Change(uri.getPath(), query);
    aResponse.setStatus(done ? HTTPResponse::HTTP_OK
                             : HTTPResponse::HTTP_BAD_REQUEST);
    aResponse.setContentType("application/json");
    aResponse.sendBuffer(body.data(), body.size());
  }

private:
  bool Change(const std::string& aPath, Query& aQuery)
  {
    if (aPath == "/control/silence-existing") {
      return mLoop.SilenceExisting(aQuery["link"]);
    }
    LinkFaults scratch;
    return aPath == "/control/faults" && ApplyQuery(aQuery, scratch) &&
           mLoop.ChangeFaults(aQuery["link"], [&](LinkFaults& aFaults) {
             ApplyQuery(aQuery, aFaults);
           });
  }

  ProxyLoop& mLoop;
};

} // namespace

Poco::Net::HTTPRequestHandler*
ControlHandlerFactory::createRequestHandler(const Poco::Net::HTTPServerRequest&)
{
  return new ControlHandler(mLoop);
}

} // namespace oriolevane::faultproxy
