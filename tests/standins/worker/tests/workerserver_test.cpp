#include "standins/worker/workerserver.h"

#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServer.h>
#include <fmt/format.h>

#include "framework/boundedqueue.h"
#include "standins/worker/tests/stories.h"
#include "workers/reporthandler.h"
#include "workers/workerlink.h"

namespace oriolevane::standins {

using protocol::WorkerReport;
using testing::Section;

namespace {

constexpr std::chrono::seconds kLong{ 30 };

class ReportFactory : public Poco::Net::HTTPRequestHandlerFactory
{
public:
  explicit ReportFactory(BoundedQueue<WorkerReport>& aReports)
    : mReports(aReports)
  {
  }
  Poco::Net::HTTPRequestHandler* createRequestHandler(
    const Poco::Net::HTTPServerRequest&) override
  {
    return new workers::ReportHandler([this](WorkerReport aReport) {
      return mReports.TryPush(std::move(aReport));
    });
  }

private:
  BoundedQueue<WorkerReport>& mReports;
};

} // namespace

void
WorkerServerStory(Section& aStory)
{
  aStory.It("runs a task and posts its answer when it ends", [] {
    BoundedQueue<WorkerReport> posted(100);
    BoundedQueue<WorkerReport> answered(100);
    Poco::Net::ServerSocket socket(Poco::Net::SocketAddress("127.0.0.1:0"));
    Poco::Net::HTTPServer node(
      new ReportFactory(posted), socket, new Poco::Net::HTTPServerParams);
    node.start();
    const auto server = WorkerServer::Start("127.0.0.1:0", {});
    CPPUNIT_ASSERT(server.ok());
    workers::WorkerLink link(
      { .mReportTo = fmt::format("http://{}{}",
                                 socket.address().toString(),
                                 workers::kWorkerReportsPath) },
      { .mOnReport =
          [&](WorkerReport aReport) { answered.TryPush(std::move(aReport)); },
        .mOnUnreachable = [](const WorkerId&, const absl::Status&) {} });

    const std::string address = (*server)->WorkerAddress(WorkerId("w0"));
    protocol::WorkerCommand command{ .mWorker = WorkerId("w0"),
                                     .mEpoch = Epoch(1),
                                     .mSequence = 1 };
    link.Send(address, command);
    const std::optional<WorkerReport> first = answered.Pop(kLong);
    CPPUNIT_ASSERT(first.has_value());
    command.mSequence = 2;
    command.mLeaseAnchor = first->mClock;
    command.mLeaseFor = std::chrono::hours(1);
    command.mOrders = { protocol::StartOrder{
      .mTask = { .mRequest = RequestId("r"), .mAttempt = 1 },
      .mPayload = R"({"runMs": 1, "answer": "whole"})" } };
    link.Send(address, command);
    const std::optional<WorkerReport> last = posted.Pop(kLong);
    CPPUNIT_ASSERT(last.has_value());
    CPPUNIT_ASSERT_EQUAL(std::string("whole"), last->mEnded.at(0).mAnswer);
    node.stopAll(true);
  });
}

} // namespace oriolevane::standins
