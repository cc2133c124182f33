#include <functional>
#include <future>
#include <memory>
#include <thread>
#include <utility>
#include <vector>

#include "eventloop/httpclient.h"
#include "eventloop/httpserver.h"
#include "eventloop/tests/testgroups.h"

namespace oriolevane {

using testing::Section;
using namespace eventloop;
using namespace std::chrono_literals;

namespace {

const SocketAddress kAddress{ .mHost = "127.0.0.1", .mPort = 17803 };

HttpServerOptions
Options()
{
  constexpr std::size_t kMaxHeaderBytes = 1'310'720;
  return { .mAddress = kAddress,
           .mMaxHeaderBytes = kMaxHeaderBytes,
           .mMaxBodyBytes = 1000,
           .mExposedHeaders = { "X-Exposed" } };
}

// Sends one request to a server with this handler and returns the outcome.
HttpOutcome
Exchange(const HttpRequest& aRequest, const HttpHandler& aHandler)
{
  EventLoop loop;
  HttpServer server(loop, Options(), aHandler);
  CPPUNIT_ASSERT(server.Listen().ok());
  HttpClient client(loop);
  HttpOutcome outcome = absl::UnknownError("no outcome");
  client.Send(kAddress, aRequest, 200ms, [&](HttpOutcome aOutcome) {
    outcome = std::move(aOutcome);
    loop.Stop();
  });
  loop.Run();
  return outcome;
}

void
TestWholeExchange(Section& aRoot)
{
  aRoot.Describe("a request with an exposed header", [](Section& aSection) {
    aSection.It("reaches the handler whole and receives its response", [] {
      HttpRequest seen;
      const HttpOutcome outcome =
        Exchange({ .mMethod = HttpMethod::Post,
                   .mTarget = "/a/b?c=1",
                   .mHeaders = { { "X-Exposed", "yes" }, { "X-Other", "no" } },
                   .mBody = "text" },
                 [&](HttpRequest aRequest, const HttpReplyCallback& aReply) {
                   seen = std::move(aRequest);
                   aReply({ .mStatus = 429, .mBody = "later" });
                 });
      CPPUNIT_ASSERT(outcome.ok());
      CPPUNIT_ASSERT_EQUAL(429, outcome->mStatus);
      CPPUNIT_ASSERT_EQUAL(std::string("later"), outcome->mBody);
      CPPUNIT_ASSERT_EQUAL(std::string("/a/b?c=1"), seen.mTarget);
      CPPUNIT_ASSERT_EQUAL(std::string("text"), seen.mBody);
      CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, seen.mHeaders.size());
      CPPUNIT_ASSERT_EQUAL(std::string("127.0.0.1"), seen.mHost);
    });
  });
}

void
TestOversizedBody(Section& aRoot)
{
  aRoot.Describe("a body above the size limit", [](Section& aSection) {
    aSection.It("is rejected before it reaches the handler", [] {
      bool handled = false;
      const HttpOutcome outcome = Exchange(
        { .mMethod = HttpMethod::Post,
          .mTarget = "/",
          .mBody = std::string(5000, 'x') },
        [&](const HttpRequest&, const HttpReplyCallback&) { handled = true; });
      CPPUNIT_ASSERT(!handled);
      CPPUNIT_ASSERT(!outcome.ok() || outcome->mStatus == 413);
    });
  });
}

void
TestRepeatedHeader(Section& aRoot)
{
  aRoot.Describe("an exposed header", [](Section& aSection) {
    // Taking one of two values would leave open which one counts.
    aSection.It("is marked when it occurs twice, in any case of letters", [] {
      HttpRequest seen;
      const HttpOutcome outcome =
        Exchange({ .mTarget = "/",
                   .mHeaders = { { "X-Exposed", "a" }, { "x-exposed", "b" } } },
                 [&](HttpRequest aRequest, const HttpReplyCallback& aReply) {
                   seen = std::move(aRequest);
                   aReply({ .mStatus = 200 });
                 });
      CPPUNIT_ASSERT(outcome.ok());
      CPPUNIT_ASSERT(seen.mRepeatedHeaders.contains("X-Exposed"));
    });
    // A server that stops to read closes the connection, and the client may see
    // no response.
    aSection.It("of 1 MB is read when the limit allows it", [] {
      std::size_t size = 0;
      const HttpOutcome outcome = Exchange(
        { .mTarget = "/",
          .mHeaders = { { "X-Exposed", std::string(1 << 20, 'k') } } },
        [&](const HttpRequest& aRequest, const HttpReplyCallback& aReply) {
          size = aRequest.mHeaders.at("X-Exposed").size();
          aReply({ .mStatus = 401 });
        });
      CPPUNIT_ASSERT_MESSAGE(outcome.status().ToString(), outcome.ok());
      CPPUNIT_ASSERT_EQUAL(401, outcome->mStatus);
      CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 << 20 }, size);
    });
  });
}

void
TestUnresponsiveServer(Section& aRoot)
{
  aRoot.Describe("a server that does not answer", [](Section& aSection) {
    aSection.It("causes DeadlineExceeded after the timeout", [] {
      HttpReplyCallback reply;
      const HttpOutcome outcome =
        Exchange({ .mMethod = HttpMethod::Get, .mTarget = "/" },
                 [&](const HttpRequest&, HttpReplyCallback aReply) {
                   reply = std::move(aReply);
                 });
      CPPUNIT_ASSERT(absl::IsDeadlineExceeded(outcome.status()));
      // The server is destroyed; a late call of the callback must be harmless.
      reply({ .mStatus = 200 });
    });
  });
}

// A server on its own thread. The destructor joins the thread, also when a
// check of the test has failed.
class ServerThread
{
public:
  explicit ServerThread(HttpHandler aHandler, Duration aLifetime = 400ms)
    : mServer(mLoop, Options(), std::move(aHandler))
  {
    CPPUNIT_ASSERT(mServer.Listen().ok());
    mStop = mLoop.MakeTimer([this] { mLoop.Stop(); });
    mStop->StartAfter(aLifetime);
    mThread = std::thread([this] { mLoop.Run(); });
  }
  ~ServerThread() { mThread.join(); }

private:
  EventLoop mLoop;
  HttpServer mServer;
  std::unique_ptr<Timer> mStop;
  std::thread mThread;
};

// Receives a response of that size while each pass of the client's loop takes
// aPass.
HttpOutcome
ExchangeWithBusyClient(std::size_t aBytes, Duration aPass)
{
  const ServerThread server(
    [aBytes](const HttpRequest&, const HttpReplyCallback& aReply) {
      aReply({ .mStatus = 200, .mBody = std::string(aBytes, 'x') });
    },
    3200ms);
  EventLoop loop;
  HttpClient client(loop);
  HttpOutcome outcome = absl::UnknownError("no outcome");
  std::unique_ptr<Timer> work;
  work = loop.MakeTimer([&] {
    std::this_thread::sleep_for(aPass);
    work->StartAfter(Duration::zero());
  });
  work->StartAfter(Duration::zero());
  client.Send(kAddress, { .mTarget = "/" }, 3s, [&](HttpOutcome aOutcome) {
    outcome = std::move(aOutcome);
    loop.Stop();
  });
  loop.Run();
  return outcome;
}

void
TestLargeResponse(Section& aRoot)
{
  aRoot.Describe("a response that is large", [](Section& aSection) {
    // Guards against large pages that a busy owner reads 4 KiB at a time.
    aSection.It("arrives in time although the loop has much to do", [] {
      constexpr std::size_t kBytes = 8'000'000;
      const HttpOutcome outcome = ExchangeWithBusyClient(kBytes, 2ms);
      CPPUNIT_ASSERT(outcome.ok());
      CPPUNIT_ASSERT_EQUAL(kBytes, outcome->mBody.size());
    });
  });
}

// Sends a request that times out after 20 ms and runs the loop for 200 ms.
// Returns all reported outcomes. aStall runs in the loop before the timeout.
std::vector<HttpOutcome>
CollectOutcomes(const std::function<void()>& aStall,
                const std::function<void()>& aOnOutcome)
{
  EventLoop loop;
  HttpClient client(loop);
  std::vector<HttpOutcome> outcomes;
  client.Send(kAddress,
              { .mMethod = HttpMethod::Get, .mTarget = "/" },
              20ms,
              [&](HttpOutcome aOutcome) {
                outcomes.push_back(std::move(aOutcome));
                aOnOutcome();
              });
  const auto stall = loop.MakeTimer(aStall);
  stall->StartAfter(10ms);
  const auto stop = loop.MakeTimer([&] { loop.Stop(); });
  stop->StartAfter(200ms);
  loop.Run();
  return outcomes;
}

void
TestLateResponse(Section& aRoot)
{
  aRoot.Describe(
    "a response that arrives just after the timeout", [](Section& aSection) {
      aSection.It("is not reported for the finished exchange", [] {
        std::promise<void> timedOut;
        const ServerThread server(
          [&](const HttpRequest&, const HttpReplyCallback& aReply) {
            timedOut.get_future().wait_for(1s);
            aReply({ .mStatus = 200 });
          });
        const std::vector<HttpOutcome> outcomes =
          CollectOutcomes([] {},
                          [&] {
                            timedOut.set_value();
                            // The response arrives before the loop continues.
                            std::this_thread::sleep_for(40ms);
                          });
        CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, outcomes.size());
        CPPUNIT_ASSERT(absl::IsDeadlineExceeded(outcomes[0].status()));
      });
    });
  aRoot.Describe(
    "a response that the loop sees together with the timeout",
    [](Section& aSection) {
      aSection.It("is reported once, as a response or as a timeout", [] {
        const ServerThread server(
          [](const HttpRequest&, const HttpReplyCallback& aReply) {
            std::this_thread::sleep_for(20ms);
            aReply({ .mStatus = 200 });
          });
        const std::vector<HttpOutcome> outcomes =
          CollectOutcomes([] { std::this_thread::sleep_for(40ms); }, [] {});
        CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, outcomes.size());
        CPPUNIT_ASSERT(outcomes[0].ok() ||
                       absl::IsDeadlineExceeded(outcomes[0].status()));
      });
    });
}

} // namespace

void
HttpExchangeTests(Section& aRoot)
{
  TestWholeExchange(aRoot);
  TestLargeResponse(aRoot);
  TestOversizedBody(aRoot);
  TestRepeatedHeader(aRoot);
  TestUnresponsiveServer(aRoot);
  TestLateResponse(aRoot);
}

} // namespace oriolevane
