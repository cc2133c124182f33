#include "node/internal/workerreportserver.h"

#include <utility>

#include <Poco/Exception.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/ThreadPool.h>

#include "gateway/callersocket.h"
#include "workers/reporthandler.h"

namespace oriolevane::node {

namespace {

constexpr int kThreads = 16;
constexpr int kQueuedConnections = 512;
constexpr int kIdleSeconds = 5;

class NotFoundHandler : public Poco::Net::HTTPRequestHandler
{
public:
  void handleRequest(Poco::Net::HTTPServerRequest&,
                     Poco::Net::HTTPServerResponse& aResponse) override
  {
    aResponse.setStatusAndReason(Poco::Net::HTTPResponse::HTTP_NOT_FOUND);
    aResponse.setContentLength(0);
    aResponse.send();
  }
};

// Handles a report whose body has another limit than its headers.
class LimitedReportHandler : public workers::ReportHandler
{
public:
  using workers::ReportHandler::ReportHandler;

  void handleRequest(Poco::Net::HTTPServerRequest& aRequest,
                     Poco::Net::HTTPServerResponse& aResponse) override
  {
    gateway::EndHead(
      dynamic_cast<Poco::Net::HTTPServerRequestImpl&>(aRequest).socket());
    workers::ReportHandler::handleRequest(aRequest, aResponse);
  }
};

class ReportHandlerFactory : public Poco::Net::HTTPRequestHandlerFactory
{
public:
  explicit ReportHandlerFactory(workers::ReportHandler::OnReport aOnReport)
    : mOnReport(std::move(aOnReport))
  {
  }

  Poco::Net::HTTPRequestHandler* createRequestHandler(
    const Poco::Net::HTTPServerRequest& aRequest) override
  {
    if (aRequest.getURI() != workers::kWorkerReportsPath) {
      return new NotFoundHandler;
    }
    return new LimitedReportHandler(mOnReport);
  }

private:
  workers::ReportHandler::OnReport mOnReport;
};

Poco::Net::HTTPServerParams::Ptr
ServerParams()
{
  Poco::Net::HTTPServerParams::Ptr params = new Poco::Net::HTTPServerParams;
  params->setMaxThreads(kThreads);
  params->setMaxQueued(kQueuedConnections);
  params->setTimeout(Poco::Timespan(kIdleSeconds, 0));
  params->setKeepAlive(false);
  return params;
}

} // namespace

class WorkerReportServer::Impl
{
public:
  Impl(const std::string& aAddress,
       std::function<bool(protocol::WorkerReport)> aOnReport,
       std::chrono::milliseconds aRequestLimit)
    : mPool(2, kThreads)
    , mSocket(gateway::ListenForCallers(aAddress, aRequestLimit))
    , mServer(new ReportHandlerFactory(std::move(aOnReport)),
              mPool,
              mSocket,
              ServerParams())
  {
    mServer.start();
  }

  Poco::ThreadPool mPool;
  Poco::Net::ServerSocket mSocket;
  Poco::Net::HTTPServer mServer;
};

WorkerReportServer::WorkerReportServer(std::unique_ptr<Impl> aImpl)
  : mImpl(std::move(aImpl))
{
}

WorkerReportServer::~WorkerReportServer()
{
  mImpl->mServer.stopAll(true);
}

absl::StatusOr<std::unique_ptr<WorkerReportServer>>
WorkerReportServer::Start(const std::string& aAddress,
                          std::function<bool(protocol::WorkerReport)> aOnReport,
                          std::chrono::milliseconds aRequestLimit)
{
  try {
    return std::unique_ptr<WorkerReportServer>(new WorkerReportServer(
      std::make_unique<Impl>(aAddress, std::move(aOnReport), aRequestLimit)));
  } catch (const Poco::Exception& error) {
    return absl::UnavailableError(error.displayText());
  }
}

std::string
WorkerReportServer::Address() const
{
  return mImpl->mSocket.address().toString();
}

} // namespace oriolevane::node
