#include "standins/worker/workerserver.h"

#include <string_view>
#include <utility>

#include <Poco/Exception.h>
#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/SocketAddress.h>
#include <fmt/format.h>

#include "standins/worker/workerhandler.h"

namespace oriolevane::standins {

namespace {

constexpr int kMostConnections = 1024;
constexpr int kMostQueued = 256;
constexpr int kIdleSeconds = 60;
constexpr int kStackBytes = 256 * 1024;

Poco::Net::HTTPServerParams::Ptr
ServerParams()
{
  Poco::Net::HTTPServerParams::Ptr params = new Poco::Net::HTTPServerParams;
  params->setMaxThreads(kMostConnections);
  params->setMaxQueued(kMostQueued);
  params->setKeepAlive(true);
  params->setKeepAliveTimeout(Poco::Timespan(kIdleSeconds, 0));
  return params;
}

// Each connection takes a thread while it is open.
Poco::ThreadPool&
ConnectionThreads()
{
  static Poco::ThreadPool pool(2, kMostConnections, kIdleSeconds, kStackBytes);
  return pool;
}

} // namespace

WorkerServer::WorkerServer(WorkerFleetOptions aOptions)
  : mFleet(std::move(aOptions))
{
}

absl::StatusOr<std::unique_ptr<WorkerServer>>
WorkerServer::Start(const std::string& aListen, WorkerFleetOptions aOptions)
{
  std::unique_ptr<WorkerServer> server(new WorkerServer(std::move(aOptions)));
  try {
    Poco::Net::ServerSocket socket;
    socket.bind(Poco::Net::SocketAddress(aListen), true);
    socket.listen();
    server->mAddress = socket.address().toString();
    server->mServer = std::make_unique<Poco::Net::HTTPServer>(
      new WorkerHandlerFactory(server->mFleet),
      ConnectionThreads(),
      socket,
      ServerParams());
    server->mServer->start();
  } catch (const Poco::Exception& fault) {
    return absl::UnavailableError(fault.displayText());
  }
  return server;
}

WorkerServer::~WorkerServer()
{
  mFleet.Stop();
  if (mServer != nullptr) {
    mServer->stopAll(true);
  }
}

std::string
WorkerServer::Address() const
{
  return mAddress;
}

std::string
WorkerServer::WorkerAddress(const WorkerId& aWorker) const
{
  return fmt::format("{}/w/{}", Address(), aWorker);
}

} // namespace oriolevane::standins
