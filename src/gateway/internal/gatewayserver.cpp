#include "gateway/gatewayserver.h"

#include <algorithm>
#include <atomic>
#include <thread>
#include <utility>

#include <Poco/Exception.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/ThreadPool.h>

#include "framework/types/timepoint.h"
#include "gateway/callersocket.h"
#include "gateway/internal/httphandler.h"
#include "gateway/router.h"

namespace oriolevane::gateway {

namespace {

// The headers may take as long as the body.
constexpr int kRequestToBodyLimit = 2;
constexpr std::chrono::milliseconds kStopPoll{ 10 };

class HandlerFactory : public Poco::Net::HTTPRequestHandlerFactory
{
public:
  HandlerFactory(Router& aRouter, HttpHandlerLimits aLimits)
    : mRouter(aRouter)
    , mLimits(std::move(aLimits))
  {
  }

  Poco::Net::HTTPRequestHandler* createRequestHandler(
    const Poco::Net::HTTPServerRequest&) override
  {
    return new HttpHandler(mRouter, mLimits);
  }

private:
  Router& mRouter;
  HttpHandlerLimits mLimits;
};

// With few threads, at most a quarter is kept from waiting callers.
std::uint32_t
MostWaiting(const GatewayOptions& aOptions)
{
  constexpr std::uint32_t kLeastWaitingShare = 4;
  return aOptions.mThreads - std::min(aOptions.mThreadsForShortCalls,
                                      aOptions.mThreads / kLeastWaitingShare);
}

// A connection holds a thread also between its requests; a quarter of the
// threads is kept from those that stay open.
int
MostKept(const GatewayOptions& aOptions)
{
  constexpr std::uint32_t kFreeShare = 4;
  return static_cast<int>(aOptions.mThreads - aOptions.mThreads / kFreeShare);
}

Poco::Net::HTTPServerParams::Ptr
ServerParams(const GatewayOptions& aOptions)
{
  const Poco::Timespan idle(
    std::chrono::duration_cast<std::chrono::microseconds>(aOptions.mIdleTimeout)
      .count());
  Poco::Net::HTTPServerParams::Ptr params = new Poco::Net::HTTPServerParams;
  params->setMaxThreads(static_cast<int>(aOptions.mThreads));
  params->setMaxQueued(static_cast<int>(aOptions.mQueuedConnections));
  params->setTimeout(idle);
  params->setKeepAlive(true);
  params->setKeepAliveTimeout(idle);
  return params;
}

} // namespace

class GatewayServer::Impl
{
public:
  Impl(const GatewayOptions& aOptions, GatewayHooks aHooks, std::uint64_t aSeed)
    : mRouter({ .mCallerTimeout = aOptions.mCallerTimeout,
                .mMostWaiting = MostWaiting(aOptions),
                .mSeed = aSeed },
              std::move(aHooks))
    , mMostKept(MostKept(aOptions))
    , mPool(2, static_cast<int>(aOptions.mThreads))
    , mSocket(ListenForCallers(aOptions.mAddress,
                               kRequestToBodyLimit * aOptions.mBodyTimeout))
    , mServer(new HandlerFactory(mRouter,
                                 { aOptions.mMaxBodyBytes,
                                   aOptions.mBodyTimeout,
                                   &mClosing,
                                   [this] { return IsCrowded(); } }),
              mPool,
              mSocket,
              ServerParams(aOptions))
  {
    mAddress = mSocket.address().toString();
    mServer.start();
  }

  bool IsCrowded() const { return mServer.currentConnections() > mMostKept; }

  Router mRouter;
  std::atomic<bool> mClosing{ false };
  const int mMostKept;
  Poco::ThreadPool mPool;
  Poco::Net::ServerSocket mSocket;
  std::string mAddress;
  Poco::Net::HTTPServer mServer;
};

GatewayServer::GatewayServer(std::unique_ptr<Impl> aImpl)
  : mImpl(std::move(aImpl))
{
}

GatewayServer::~GatewayServer()
{
  mImpl->mServer.stopAll(true);
}

absl::StatusOr<std::unique_ptr<GatewayServer>>
GatewayServer::Start(const GatewayOptions& aOptions, GatewayHooks aHooks)
{
  const auto seed = static_cast<std::uint64_t>(
    std::chrono::system_clock::now().time_since_epoch().count());
  try {
    return std::unique_ptr<GatewayServer>(new GatewayServer(
      std::make_unique<Impl>(aOptions, std::move(aHooks), seed)));
  } catch (const Poco::InvalidArgumentException& error) {
    return absl::InvalidArgumentError(error.displayText());
  } catch (const Poco::Exception& error) {
    return absl::UnavailableError(error.displayText());
  }
}

std::string
GatewayServer::Address() const
{
  return mImpl->mAddress;
}

void
GatewayServer::StopAccepting()
{
  mImpl->mClosing.store(true);
  mImpl->mServer.stop();
  // Else the system would go on taking connections that nobody serves.
  mImpl->mSocket.close();
}

int
GatewayServer::ActiveConnections() const
{
  return mImpl->mServer.currentConnections();
}

bool
GatewayServer::Stop(std::chrono::milliseconds aGrace)
{
  StopAccepting();
  const TimePoint end = std::chrono::steady_clock::now() + aGrace;
  while (ActiveConnections() > 0 && std::chrono::steady_clock::now() < end) {
    std::this_thread::sleep_for(kStopPoll);
  }
  return ActiveConnections() == 0;
}

} // namespace oriolevane::gateway
