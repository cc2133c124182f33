#include <thread>

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

void
TellLateResponse(Section& aStory)
{
  aStory.Describe(
    "a response that comes just after its timeout", [](Section& aSection) {
      aSection.It("does not reach the exchange that is over", [] {
        EventLoop serverLoop;
        HttpServer server(serverLoop,
                          Options(),
                          [](const HttpRequest&, const HttpReply& aReply) {
                            std::this_thread::sleep_for(10ms);
                            aReply({ .mStatus = 200 });
                          });
        CPPUNIT_ASSERT(server.Listen().ok());
        const auto stopServer =
          serverLoop.MakeTimer([&] { serverLoop.Stop(); });
        stopServer->StartAfter(150ms);
        std::thread serving([&] { serverLoop.Run(); });
        EventLoop loop;
        HttpClient client(loop);
        int finished = 0;
        client.Send(kAddress,
                    { .mMethod = HttpMethod::Get, .mTarget = "/" },
                    5ms,
                    [&](const HttpOutcome& aOutcome) {
                      ++finished;
                      CPPUNIT_ASSERT(
                        absl::IsDeadlineExceeded(aOutcome.status()));
                      // The response is there before the loop goes on.
                      std::this_thread::sleep_for(40ms);
                    });
        const auto stop = loop.MakeTimer([&] { loop.Stop(); });
        stop->StartAfter(120ms);
        loop.Run();
        serving.join();
        CPPUNIT_ASSERT_EQUAL(1, finished);
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
