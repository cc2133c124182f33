#include "workers/reporthandler.h"

#include <memory>
#include <vector>

#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/HTTPServer.h>
#include <Poco/NullStream.h>
#include <Poco/StreamCopier.h>
#include <Poco/ThreadPool.h>

#include "workers/tests/stories.h"
#include "workers/workerjson.h"

namespace oriolevane::workers {

using testing::Section;

namespace {

constexpr std::size_t kBodyLimit = 4096;

class Factory : public Poco::Net::HTTPRequestHandlerFactory
{
public:
  explicit Factory(ReportHandler::OnReport aOnReport)
    : mOnReport(std::move(aOnReport))
  {
  }
  Poco::Net::HTTPRequestHandler* createRequestHandler(
    const Poco::Net::HTTPServerRequest&) override
  {
    return new ReportHandler(mOnReport, kBodyLimit);
  }

private:
  ReportHandler::OnReport mOnReport;
};

struct Node
{
  std::vector<protocol::WorkerReport> mReports;
  bool mHasRoom = true;
  Poco::Net::ServerSocket mSocket{ Poco::Net::SocketAddress("127.0.0.1:0") };
  Poco::ThreadPool mThreads;
  Poco::Net::HTTPServer mServer{ new Factory(
                                   [this](protocol::WorkerReport aReport) {
                                     mReports.push_back(std::move(aReport));
                                     return mHasRoom;
                                   }),
                                 mThreads,
                                 mSocket,
                                 new Poco::Net::HTTPServerParams };

  Node() { mServer.start(); }
  ~Node() { mServer.stopAll(true); }

  int Post(const std::string& aBody)
  {
    Poco::Net::HTTPClientSession session(mSocket.address());
    Poco::Net::HTTPRequest request(
      "POST", kWorkerReportsPath, Poco::Net::HTTPRequest::HTTP_1_1);
    request.setContentLength(static_cast<std::streamsize>(aBody.size()));
    session.sendRequest(request) << aBody << std::flush;
    Poco::Net::HTTPResponse response;
    Poco::NullOutputStream nowhere;
    Poco::StreamCopier::copyStream(session.receiveResponse(response), nowhere);
    return response.getStatus();
  }
};

} // namespace

void
ReportHandlerStory(Section& aStory)
{
  aStory.It("gives a whole report to the node", [] {
    Node node;
    const protocol::WorkerReport report{ .mWorker = WorkerId("w1"),
                                         .mSequence = 4 };
    CPPUNIT_ASSERT_EQUAL(204, node.Post(*EncodeWorkerReport(report)));
    CPPUNIT_ASSERT(node.mReports.at(0) == report);
  });
  aStory.It("refuses what it can't read, and goes on", [] {
    Node node;
    CPPUNIT_ASSERT_EQUAL(400, node.Post("{}"));
    CPPUNIT_ASSERT_EQUAL(413, node.Post(std::string(kBodyLimit + 1, ' ')));
    CPPUNIT_ASSERT(node.mReports.empty());
    CPPUNIT_ASSERT_EQUAL(
      204, node.Post(*EncodeWorkerReport({ .mWorker = WorkerId("w1") })));
  });
  aStory.It("tells the worker to try again when the node has no room", [] {
    Node node;
    node.mHasRoom = false;
    CPPUNIT_ASSERT_EQUAL(
      503, node.Post(*EncodeWorkerReport({ .mWorker = WorkerId("w1") })));
  });
}

} // namespace oriolevane::workers
