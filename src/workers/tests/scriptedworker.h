// An HTTP server whose answers a test scripts, for workers that misbehave in
// ways the worker stand-in does not.
#pragma once

#include <functional>
#include <string>

#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/ThreadPool.h>

namespace oriolevane::workers {

class ScriptedWorker
{
public:
  using Script = std::function<void(Poco::Net::HTTPServerRequest&,
                                    Poco::Net::HTTPServerResponse&)>;

  explicit ScriptedWorker(const Script& aScript)
    : mServer(new Factory(aScript),
              mThreads,
              mSocket,
              new Poco::Net::HTTPServerParams)
  {
    mServer.start();
  }
  ScriptedWorker(const ScriptedWorker&) = delete;
  ScriptedWorker& operator=(const ScriptedWorker&) = delete;
  ~ScriptedWorker() { mServer.stopAll(true); }

  std::string Address() const { return mSocket.address().toString(); }

private:
  class Handler : public Poco::Net::HTTPRequestHandler
  {
  public:
    explicit Handler(const Script& aScript)
      : mScript(aScript)
    {
    }
    void handleRequest(Poco::Net::HTTPServerRequest& aRequest,
                       Poco::Net::HTTPServerResponse& aResponse) override
    {
      mScript(aRequest, aResponse);
    }

  private:
    const Script& mScript;
  };

  class Factory : public Poco::Net::HTTPRequestHandlerFactory
  {
  public:
    explicit Factory(Script aScript)
      : mScript(std::move(aScript))
    {
    }
    Poco::Net::HTTPRequestHandler* createRequestHandler(
      const Poco::Net::HTTPServerRequest&) override
    {
      return new Handler(mScript);
    }

  private:
    Script mScript;
  };

  Poco::Net::ServerSocket mSocket{ Poco::Net::SocketAddress("127.0.0.1:0") };
  Poco::ThreadPool mThreads;
  Poco::Net::HTTPServer mServer;
};

} // namespace oriolevane::workers
