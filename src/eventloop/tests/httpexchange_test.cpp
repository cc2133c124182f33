#include <functional>
#include <future>
#include <memory>
#include <thread>
#include <utility>
#include <vector>

#include "eventloop/httpclient.h"
#include "eventloop/httpserver.h"
#include "eventloop/tests/stories.h"

namespace oriolevane {

using testing::Section;
using namespace eventloop;
using namespace std::chrono_literals;

namespace {

const SocketAddress kAddress{ .mHost = "127.0.0.1", .mPort = 17803 };

HttpServerOptions
Options()
{
  return { .mAddress = kAddress,
           .mMostBodyBytes = 1000,
           .mKeptHeaders = { "X-Kept" } };
}

// Sends one request to a server with this handler and returns what came back.
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
TellWholeExchange(Section& aStory)
{
  aStory.Describe("a request with a kept header", [](Section& aSection) {
    aSection.It("arrives whole and its response comes back", [] {
      HttpRequest seen;
      const HttpOutcome outcome =
        Exchange({ .mMethod = HttpMethod::Post,
                   .mTarget = "/a/b?c=1",
                   .mHeaders = { { "X-Kept", "yes" }, { "X-Other", "no" } },
                   .mBody = "text" },
                 [&](HttpRequest aRequest, const HttpReply& aReply) {
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
TellLargeBody(Section& aStory)
{
  aStory.Describe("a body above the limit", [](Section& aSection) {
    aSection.It("is refused without reaching the handler", [] {
      bool handled = false;
      const HttpOutcome outcome =
        Exchange({ .mMethod = HttpMethod::Post,
                   .mTarget = "/",
                   .mBody = std::string(5000, 'x') },
                 [&](const HttpRequest&, const HttpReply&) { handled = true; });
      CPPUNIT_ASSERT(!handled);
      CPPUNIT_ASSERT(!outcome.ok() || outcome->mStatus == 413);
    });
  });
}

void
TellSilentServer(Section& aStory)
{
  aStory.Describe("a server that does not answer", [](Section& aSection) {
    aSection.It("leaves the outcome unknown after the timeout", [] {
      HttpReply kept;
      const HttpOutcome outcome =
        Exchange({ .mMethod = HttpMethod::Get, .mTarget = "/" },
                 [&](const HttpRequest&, HttpReply aReply) {
                   kept = std::move(aReply);
                 });
      CPPUNIT_ASSERT(absl::IsDeadlineExceeded(outcome.status()));
      // The server is gone; a late reply does no harm.
      kept({ .mStatus = 200 });
    });
  });
}

// A server on a thread of its own, which it joins however a test ends.
class ServerThread
{
public:
  explicit ServerThread(HttpHandler aHandler)
    : mServer(mLoop, Options(), std::move(aHandler))
  {
    CPPUNIT_ASSERT(mServer.Listen().ok());
    mStop = mLoop.MakeTimer([this] { mLoop.Stop(); });
    mStop->StartAfter(400ms);
    mThread = std::thread([this] { mLoop.Run(); });
  }
  ~ServerThread() { mThread.join(); }

private:
  EventLoop mLoop;
  HttpServer mServer;
  std::unique_ptr<Timer> mStop;
  std::thread mThread;
};

// Sends a request that times out soon, and runs the loop for a while. Returns
// all outcomes that were told. aStall runs in the loop before the timeout.
std::vector<HttpOutcome>
OutcomesOf(const std::function<void()>& aStall,
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
TellLateResponse(Section& aStory)
{
  aStory.Describe(
    "a response that comes just after its timeout", [](Section& aSection) {
      aSection.It("does not reach the exchange that is over", [] {
        std::promise<void> timedOut;
        const ServerThread server(
          [&](const HttpRequest&, const HttpReply& aReply) {
            timedOut.get_future().wait_for(1s);
            aReply({ .mStatus = 200 });
          });
        const std::vector<HttpOutcome> outcomes =
          OutcomesOf([] {},
                     [&] {
                       timedOut.set_value();
                       // The response is there before the loop goes on.
                       std::this_thread::sleep_for(40ms);
                     });
        CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, outcomes.size());
        CPPUNIT_ASSERT(absl::IsDeadlineExceeded(outcomes[0].status()));
      });
    });
  aStory.Describe(
    "a response that the loop finds together with the timeout",
    [](Section& aSection) {
      aSection.It("is told once, as one or the other", [] {
        const ServerThread server(
          [](const HttpRequest&, const HttpReply& aReply) {
            std::this_thread::sleep_for(20ms);
            aReply({ .mStatus = 200 });
          });
        const std::vector<HttpOutcome> outcomes =
          OutcomesOf([] { std::this_thread::sleep_for(40ms); }, [] {});
        CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, outcomes.size());
        CPPUNIT_ASSERT(outcomes[0].ok() ||
                       absl::IsDeadlineExceeded(outcomes[0].status()));
      });
    });
}

} // namespace

void
HttpExchangeStory(Section& aStory)
{
  TellWholeExchange(aStory);
  TellLargeBody(aStory);
  TellSilentServer(aStory);
  TellLateResponse(aStory);
}

} // namespace oriolevane
