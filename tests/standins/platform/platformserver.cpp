#include "standins/platform/platformserver.h"

#include <array>
#include <chrono>
#include <istream>
#include <optional>
#include <utility>

#include <Poco/Exception.h>
#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/ThreadPool.h>
#include <Poco/URI.h>

namespace oriolevane::standins {

namespace {

constexpr std::size_t kMaxBodyBytes = 128UL * 1024 * 1024;
constexpr int kMaxConnections = 512;

std::optional<std::string>
ReadBody(std::istream& aStream)
{
  std::string body;
  std::array<char, 16384> chunk{};
  while (aStream) {
    aStream.read(chunk.data(), chunk.size());
    body.append(chunk.data(), static_cast<std::size_t>(aStream.gcount()));
    if (body.size() > kMaxBodyBytes) {
      return std::nullopt;
    }
  }
  return body;
}

void
CloseConnection(Poco::Net::HTTPServerRequest& aRequest)
{
  auto& request = dynamic_cast<Poco::Net::HTTPServerRequestImpl&>(aRequest);
  request.socket().shutdown();
}

class Handler : public Poco::Net::HTTPRequestHandler
{
public:
  explicit Handler(PlatformService& aService)
    : mService(aService)
  {
  }

  void handleRequest(Poco::Net::HTTPServerRequest& aRequest,
                     Poco::Net::HTTPServerResponse& aResponse) override
  {
    auto body = ReadBody(aRequest.stream());
    if (!body) {
      CloseConnection(aRequest);
      return;
    }
    const Poco::URI uri(aRequest.getURI());
    ServiceRequest request{ .mMethod = aRequest.getMethod(),
                            .mPath = uri.getPath(),
                            .mBody = *std::move(body) };
    for (const auto& [name, value] : uri.getQueryParameters()) {
      request.mQuery[name] = value;
    }
    const ServiceAnswer answer = mService.Handle(request);
    if (answer.mSilent) {
      CloseConnection(aRequest);
      return;
    }
    aResponse.setStatus(
      static_cast<Poco::Net::HTTPResponse::HTTPStatus>(answer.mStatus));
    aResponse.setContentType("application/json");
    aResponse.sendBuffer(answer.mBody.data(), answer.mBody.size());
  }

private:
  PlatformService& mService;
};

class HandlerFactory : public Poco::Net::HTTPRequestHandlerFactory
{
public:
  explicit HandlerFactory(PlatformService& aService)
    : mService(aService)
  {
  }

  Poco::Net::HTTPRequestHandler* createRequestHandler(
    const Poco::Net::HTTPServerRequest&) override
  {
    return new Handler(mService);
  }

private:
  PlatformService& mService;
};

} // namespace

struct PlatformServer::Listener
{
  Poco::ThreadPool mThreads{ 2, kMaxConnections };
  std::unique_ptr<Poco::Net::HTTPServer> mServer;
};

PlatformServer::PlatformServer()
  : mListener(std::make_unique<Listener>())
{
}

absl::StatusOr<std::unique_ptr<PlatformServer>>
PlatformServer::Start(PlatformServerOptions aOptions)
{
  std::unique_ptr<PlatformServer> server(new PlatformServer);
  server->mService = std::make_unique<PlatformService>(
    std::move(aOptions.mHosts), aOptions.mSeed);
  auto* parameters = new Poco::Net::HTTPServerParams;
  parameters->setMaxThreads(kMaxConnections);
  parameters->setMaxQueued(kMaxConnections);
  parameters->setKeepAlive(true);
  parameters->setMaxKeepAliveRequests(0);
  try {
    const Poco::Net::ServerSocket socket(
      Poco::Net::SocketAddress(aOptions.mListen));
    server->mListener->mServer = std::make_unique<Poco::Net::HTTPServer>(
      new HandlerFactory(*server->mService),
      server->mListener->mThreads,
      socket,
      parameters);
    server->mListener->mServer->start();
  } catch (const Poco::Exception& error) {
    return absl::UnavailableError("cannot listen on " + aOptions.mListen +
                                  ": " + error.displayText());
  }
  return server;
}

PlatformServer::~PlatformServer()
{
  mService->Stop();
  if (mListener->mServer) {
    mListener->mServer->stopAll(true);
  }
  mListener->mThreads.joinAll();
}

std::string
PlatformServer::Address() const
{
  return mListener->mServer->socket().address().toString();
}

} // namespace oriolevane::standins
