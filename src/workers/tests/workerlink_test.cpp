#include "workers/workerlink.h"

#include <atomic>
#include <iterator>
#include <latch>
#include <optional>

#include "standins/worker/workerserver.h"
#include "workers/tests/exchangelog.h"
#include "workers/tests/scriptedworker.h"
#include "workers/tests/stories.h"
#include "workers/workerjson.h"

namespace oriolevane::workers {

using Poco::Net::HTTPServerRequest;
using Poco::Net::HTTPServerResponse;
using protocol::WorkerCommand;
using standins::WorkerServer;
using testing::Section;

namespace {

constexpr std::chrono::minutes kNever{ 10 };
constexpr std::chrono::milliseconds kSoon{ 300 };
constexpr const char* kClosedAddress = "127.0.0.1:1";

WorkerCommand
Heartbeat(const std::string& aWorker, std::uint64_t aSequence)
{
  return { .mWorker = WorkerId(aWorker),
           .mEpoch = Epoch(1),
           .mSequence = aSequence };
}

std::unique_ptr<WorkerServer>
StartWorkers(std::size_t aCount)
{
  auto server =
    WorkerServer::Start("127.0.0.1:0", { .mWorkers = aCount, .mSeed = 1 });
  CPPUNIT_ASSERT(server.ok());
  return *std::move(server);
}

WorkerLinkOptions
Timeout(std::chrono::milliseconds aExchangeTimeout)
{
  return { .mThreads = 1,
           .mSuspectThreads = 1,
           .mExchangeTimeout = aExchangeTimeout };
}

ExchangeRequest
ReadRequest(HTTPServerRequest& aRequest)
{
  return *ParseExchangeRequest(
    std::string(std::istreambuf_iterator<char>(aRequest.stream()), {}));
}

void
AnswerAs(const std::string& aWorker,
         std::uint64_t aSequence,
         HTTPServerResponse& aResponse)
{
  const std::string body = *EncodeWorkerReport(
    { .mWorker = WorkerId(aWorker), .mCommandSequence = aSequence });
  aResponse.sendBuffer(body.data(), body.size());
}

// The fault that one exchange with a worker of this script ends with.
absl::Status
FaultOf(const ScriptedWorker::Script& aScript, WorkerLinkOptions aOptions)
{
  ExchangeLog log;
  ScriptedWorker worker(aScript);
  WorkerLink link(std::move(aOptions), log.Hooks());
  CPPUNIT_ASSERT(link.Send(worker.Address(), Heartbeat("w0", 1)));
  CPPUNIT_ASSERT(log.WaitForFaults(1));
  return log.mFaults[0];
}

void
HealthyWorkers(Section& aSection)
{
  aSection.It("answer every command over kept connections", [] {
    ExchangeLog log;
    const auto workers = StartWorkers(5);
    WorkerLink link(Timeout(kNever), log.Hooks());
    for (std::uint64_t round = 1; round <= 3; ++round) {
      for (const std::string name : { "w0", "w1", "w2", "w3", "w4" }) {
        CPPUNIT_ASSERT(link.Send(workers->WorkerAddress(WorkerId(name)),
                                 Heartbeat(name, round)));
      }
      CPPUNIT_ASSERT(log.WaitForReports(round * 5));
    }
    CPPUNIT_ASSERT(log.mFaults.empty());
    for (std::size_t i = 10; i < log.mReports.size(); ++i) {
      CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 3 },
                           log.mReports[i].mCommandSequence);
    }
  });
  aSection.It("get the latest of the commands that wait", [] {
    ExchangeLog log;
    std::latch taken(1);
    std::latch queued(1);
    ScriptedWorker worker(
      [&](HTTPServerRequest& aRequest, HTTPServerResponse& aResponse) {
        const ExchangeRequest request = ReadRequest(aRequest);
        if (request.mCommand.mSequence == 1) {
          taken.count_down();
          queued.wait();
        }
        AnswerAs("w0", request.mCommand.mSequence, aResponse);
      });
    WorkerLink link(Timeout(kNever), log.Hooks());
    link.Send(worker.Address(), Heartbeat("w0", 1));
    taken.wait();
    link.Send(worker.Address(), Heartbeat("w0", 2));
    link.Send(worker.Address(), Heartbeat("w0", 3));
    queued.count_down();
    CPPUNIT_ASSERT(log.WaitForReports(2));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 3 }, log.mReports[1].mCommandSequence);
  });
  aSection.It("are refused above the limit, and make room when forgotten", [] {
    ExchangeLog log;
    WorkerLink link({ .mMaxWorkers = 1 }, log.Hooks());
    CPPUNIT_ASSERT(link.Send(kClosedAddress, Heartbeat("w0", 1)));
    CPPUNIT_ASSERT(!link.Send(kClosedAddress, Heartbeat("w1", 1)));
    CPPUNIT_ASSERT(log.WaitForFaults(1));
    link.Forget(WorkerId("w0"));
    CPPUNIT_ASSERT(link.Send(kClosedAddress, Heartbeat("w1", 1)));
  });
}

void
HungWorkers(Section& aSection)
{
  aSection.It("time out, and don't hold up the others of their thread", [] {
    ExchangeLog log;
    const auto workers = StartWorkers(2);
    workers->Fleet().ChangeFaults(
      "w0", [](standins::WorkerFaults& aFaults) { aFaults.mSilent = true; });
    WorkerLink link(Timeout(kSoon), log.Hooks());
    link.Send(workers->WorkerAddress(WorkerId("w0")), Heartbeat("w0", 1));
    link.Send(workers->WorkerAddress(WorkerId("w1")), Heartbeat("w1", 1));
    CPPUNIT_ASSERT(log.WaitForFaults(1));
    CPPUNIT_ASSERT(log.WaitForReports(1));
    CPPUNIT_ASSERT(absl::IsDeadlineExceeded(log.mFaults[0]));
  });
  aSection.It("take none of the healthy workers' time once suspect", [] {
    ExchangeLog log;
    const auto workers = StartWorkers(2);
    workers->Fleet().ChangeFaults(
      "w0", [](standins::WorkerFaults& aFaults) { aFaults.mSilent = true; });
    WorkerLink link(Timeout(kNever), log.Hooks());
    link.Send(kClosedAddress, Heartbeat("w0", 1));
    CPPUNIT_ASSERT(log.WaitForFaults(1));
    link.Send(workers->WorkerAddress(WorkerId("w0")), Heartbeat("w0", 2));
    for (std::uint64_t round = 1; round <= 20; ++round) {
      link.Send(workers->WorkerAddress(WorkerId("w1")), Heartbeat("w1", round));
      CPPUNIT_ASSERT(log.WaitForReports(round));
    }
  });
  aSection.It("are reached again over a new connection", [] {
    ExchangeLog log;
    std::latch stopping(1);
    std::mutex mutex;
    std::optional<Poco::Net::SocketAddress> silent;
    ScriptedWorker worker(
      [&](HTTPServerRequest& aRequest, HTTPServerResponse& aResponse) {
        const ExchangeRequest request = ReadRequest(aRequest);
        bool isSilent = false;
        {
          const std::lock_guard lock(mutex);
          if (request.mCommand.mSequence == 2 && !silent.has_value()) {
            silent = aRequest.clientAddress();
          }
          isSilent = silent == aRequest.clientAddress();
        }
        if (isSilent) {
          stopping.wait();
        }
        AnswerAs("w0", request.mCommand.mSequence, aResponse);
      });
    WorkerLink link(Timeout(kSoon), log.Hooks());
    link.Send(worker.Address(), Heartbeat("w0", 1));
    CPPUNIT_ASSERT(log.WaitForReports(1));
    link.Send(worker.Address(), Heartbeat("w0", 2));
    CPPUNIT_ASSERT(log.WaitForFaults(1));
    link.Send(worker.Address(), Heartbeat("w0", 3));
    CPPUNIT_ASSERT(log.WaitForReports(2));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 3 }, log.mReports[1].mCommandSequence);
    stopping.count_down();
  });
}

void
SlowAnswers(Section& aSection)
{
  aSection.It("that trickle in for ever time out", [] {
    const absl::Status fault = FaultOf(
      [](HTTPServerRequest& aRequest, HTTPServerResponse& aResponse) {
        ReadRequest(aRequest);
        std::ostream& stream = aResponse.send();
        while (stream.good()) {
          stream << ' ' << std::flush;
          std::this_thread::sleep_for(std::chrono::milliseconds(1));
        }
      },
      Timeout(kSoon));
    CPPUNIT_ASSERT(absl::IsDeadlineExceeded(fault));
  });
  aSection.It("that stop in the middle time out", [] {
    std::latch stopping(1);
    ExchangeLog log;
    ScriptedWorker worker(
      [&](HTTPServerRequest& aRequest, HTTPServerResponse& aResponse) {
        ReadRequest(aRequest);
        aResponse.setContentLength(100);
        aResponse.send() << "{}" << std::flush;
        stopping.wait();
      });
    WorkerLink link(Timeout(kSoon), log.Hooks());
    link.Send(worker.Address(), Heartbeat("w0", 1));
    const bool timedOut = log.WaitForFaults(1);
    stopping.count_down();
    CPPUNIT_ASSERT(timedOut);
    CPPUNIT_ASSERT(absl::IsDeadlineExceeded(log.mFaults[0]));
  });
}

void
BadAnswers(Section& aSection)
{
  aSection.It("of another worker are refused", [] {
    const absl::Status fault = FaultOf(
      [](HTTPServerRequest& aRequest, HTTPServerResponse& aResponse) {
        ReadRequest(aRequest);
        AnswerAs("w9", 1, aResponse);
      },
      Timeout(kNever));
    CPPUNIT_ASSERT(absl::IsInvalidArgument(fault));
  });
  aSection.It("that are too long are refused whole", [] {
    WorkerLinkOptions options = Timeout(kNever);
    options.mMaxBodyBytes = 1000;
    const absl::Status fault = FaultOf(
      [](HTTPServerRequest& aRequest, HTTPServerResponse& aResponse) {
        ReadRequest(aRequest);
        aResponse.setChunkedTransferEncoding(true);
        aResponse.send() << std::string(1001, ' ');
      },
      options);
    CPPUNIT_ASSERT(absl::IsResourceExhausted(fault));
  });
  aSection.It("that were cut are refused whole", [] {
    const absl::Status fault = FaultOf(
      [](HTTPServerRequest& aRequest, HTTPServerResponse& aResponse) {
        ReadRequest(aRequest);
        aResponse.setContentLength(100);
        aResponse.setKeepAlive(false);
        aResponse.send() << "{}";
      },
      Timeout(kNever));
    CPPUNIT_ASSERT(absl::IsUnavailable(fault));
  });
  aSection.It("with another status than 200 are refused", [] {
    const absl::Status fault = FaultOf(
      [](HTTPServerRequest& aRequest, HTTPServerResponse& aResponse) {
        ReadRequest(aRequest);
        aResponse.setStatus(
          Poco::Net::HTTPResponse::HTTP_INTERNAL_SERVER_ERROR);
        AnswerAs("w0", 1, aResponse);
      },
      Timeout(kNever));
    CPPUNIT_ASSERT(absl::IsFailedPrecondition(fault));
  });
}

} // namespace

void
WorkerLinkStory(Section& aStory)
{
  aStory.Describe("healthy workers", HealthyWorkers);
  aStory.Describe("hung workers", HungWorkers);
  aStory.Describe("slow answers", SlowAnswers);
  aStory.Describe("bad answers", BadAnswers);
}

} // namespace oriolevane::workers
