#include <array>
#include <atomic>
#include <future>
#include <thread>

#include <Poco/Exception.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/StreamSocket.h>

#include "framework/testing/testgroup.h"
#include "gateway/tests/served.h"

namespace oriolevane::gateway {

using testing::Section;

namespace {

// One response, by its Content-Length.
std::string
ReceiveOne(Poco::Net::StreamSocket& aSocket)
{
  std::string text;
  std::array<char, 1> byte{};
  std::size_t whole = std::string::npos;
  while (text.size() < whole && aSocket.receiveBytes(byte.data(), 1) == 1) {
    text += byte[0];
    const std::string mark = "Content-Length: ";
    if (whole == std::string::npos && text.ends_with("\r\n\r\n") &&
        text.find(mark) != std::string::npos) {
      whole =
        text.size() + std::stoul(text.substr(text.find(mark) + mark.size()));
    }
  }
  return text;
}

std::string
Post(const std::string& aHeaders, const std::string& aBody)
{
  return "POST /v1/requests HTTP/1.1\r\nHost: x\r\n" + aHeaders + "\r\n" +
         aBody;
}

void
BodiesStory(Section& aStory)
{
  aStory.It("takes a good one, whole or in chunks", [] {
    const Served served;
    AssertHolds("HTTP/1.1 200",
                Ask(served,
                    Post("Connection: close\r\nContent-Length: " +
                           std::to_string(kGoodBody.size()) + "\r\n",
                         kGoodBody)));
    AssertHolds("HTTP/1.1 200",
                Ask(served,
                    Post("Connection: close\r\nTransfer-Encoding: chunked\r\n",
                         "29\r\n" + kGoodBody + "\r\n0\r\n\r\n")));
  });
  aStory.It("refuses one that is too large, declared or not", [] {
    const Served served;
    const std::string large(200'000, ' ');
    AssertHolds("HTTP/1.1 413",
                Ask(served, Post("Content-Length: 200000\r\n", large)));
    AssertHolds("HTTP/1.1 413",
                Ask(served,
                    Post("Transfer-Encoding: chunked\r\n",
                         "30d40\r\n" + large + "\r\n0\r\n\r\n")));
    CPPUNIT_ASSERT(served.mNode.mCalls.empty());
  });
  aStory.It("refuses one that ends before its length", [] {
    const Served served;
    AssertHolds("HTTP/1.1 400",
                Ask(served, Post("Content-Length: 900\r\n", kGoodBody)));
    CPPUNIT_ASSERT(served.mNode.mCalls.empty());
  });
  aStory.It("gives up on one that never ends, though bytes come", [] {
    // The idle limit alone would never end it.
    const Served served({ .mBodyTimeout = std::chrono::milliseconds(100),
                          .mIdleTimeout = kVeryLong });
    Poco::Net::StreamSocket socket = served.Connect();
    Send(socket, Post("Content-Length: 4000\r\n", "{"));
    while (
      !socket.poll(Poco::Timespan(0, 20'000), Poco::Net::Socket::SELECT_READ)) {
      Send(socket, " ");
    }
    AssertHolds("HTTP/1.1 408", ReceiveAll(socket));
  });
  aStory.It("answers a caller that sends on without resetting it", [] {
    const Served served({ .mBodyTimeout = std::chrono::milliseconds(20),
                          .mIdleTimeout = kVeryLong });
    for (int caller = 0; caller < 20; ++caller) {
      Poco::Net::StreamSocket socket = served.Connect();
      Send(socket, Post("Content-Length: 4000\r\n", "{"));
      // So often that bytes arrive between the answer and the close.
      while (!socket.poll(0, Poco::Net::Socket::SELECT_READ)) {
        Send(socket, " ");
        std::this_thread::sleep_for(std::chrono::microseconds(50));
      }
      AssertHolds("HTTP/1.1 408", ReceiveAll(socket));
    }
  });
  aStory.It("gives up on one that stops coming", [] {
    const Served served({ .mBodyTimeout = std::chrono::milliseconds(50),
                          .mIdleTimeout = kVeryLong });
    Poco::Net::StreamSocket socket = served.Connect();
    Send(socket, Post("Content-Length: 4000\r\n", "{"));
    AssertHolds("HTTP/1.1 408", ReceiveAll(socket));
    CPPUNIT_ASSERT(served.mNode.mCalls.empty());
  });
}

void
HeadersStory(Section& aStory)
{
  aStory.It("never reach the node", [] {
    const Served served;
    std::string many;
    for (int count = 0; count < 200; ++count) {
      many += "X-" + std::to_string(count) + ": 1\r\n";
    }
    for (const std::string& text :
         { std::string("\x16\x03\x01 hello\r\n\r\n"),
           Post(many, ""),
           Post("X-Long: " + std::string(100'000, 'x') + "\r\n", ""),
           Post("Content-Length: many\r\n", kGoodBody),
           Post("Content-Length: -5\r\n", kGoodBody),
           "GET /" + std::string(5'000, 'p') + " HTTP/1.1\r\n\r\n" }) {
      try {
        const std::string answer = Ask(served, text);
        CPPUNIT_ASSERT_MESSAGE(
          answer, answer.find("HTTP/1.1 200") == std::string::npos);
      } catch (const Poco::Net::NetException&) {
        // Reset instead of answered.
      }
    }
    CPPUNIT_ASSERT(served.mNode.mCalls.empty());
    AssertHolds("HTTP/1.1 200",
                Ask(served, "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n"));
  });
  aStory.It("that never end hold a thread no longer than a body", [] {
    const Served served({ .mBodyTimeout = std::chrono::milliseconds(100),
                          .mIdleTimeout = kVeryLong });
    Poco::Net::StreamSocket socket = served.Connect();
    Send(socket, "GET /healthz HTTP/1.1\r\nX-Slow: ");
    while (
      !socket.poll(Poco::Timespan(0, 20'000), Poco::Net::Socket::SELECT_READ)) {
      Send(socket, "x");
    }
    const std::string answer = ReceiveAll(socket);
    CPPUNIT_ASSERT(answer.find("HTTP/1.1 200") == std::string::npos);
  });
  // Guards against callers that are reset while they send.
  aStory.It("that never end are cut off without a reset", [] {
    constexpr int kCallers = 20;
    // Below the length at which a header counts as malformed.
    constexpr int kHeaderBytes = 4000;
    const Served served({ .mBodyTimeout = std::chrono::milliseconds(20),
                          .mIdleTimeout = kVeryLong });
    for (int caller = 0; caller < kCallers; ++caller) {
      Poco::Net::StreamSocket socket = served.Connect();
      Send(socket, "GET /healthz HTTP/1.1\r\nX-Slow: ");
      int sent = 0;
      while (
        !socket.poll(Poco::Timespan(0, 100), Poco::Net::Socket::SELECT_READ)) {
        ++sent;
        Send(socket, sent % kHeaderBytes == 0 ? "\r\nX-Slow: " : "x");
      }
      CPPUNIT_ASSERT_EQUAL(std::string(), ReceiveAll(socket));
    }
  });
  aStory.It("with a path that cannot be decoded are refused", [] {
    const Served served;
    AssertHolds("HTTP/1.1 400",
                Ask(served, "GET /v1/requests/%zz HTTP/1.1\r\n\r\n"));
  });
}

void
StopStory(Section& aStory)
{
  aStory.It("answers what is being served, then closes and refuses", [] {
    Served served({ .mIdleTimeout = kVeryLong });
    std::promise<void> reached;
    std::promise<void> release;
    served.mNode.mDuringCall = [&] {
      reached.set_value();
      release.get_future().wait();
    };
    Poco::Net::StreamSocket socket = served.Connect();
    Send(socket,
         Post("Content-Length: " + std::to_string(kGoodBody.size()) + "\r\n",
              kGoodBody));
    reached.get_future().wait();
    served.mServer->StopAccepting();
    CPPUNIT_ASSERT_THROW(served.Connect(),
                         Poco::Net::ConnectionRefusedException);
    release.set_value();
    const std::string answer = ReceiveAll(socket);
    AssertHolds("HTTP/1.1 200", answer);
    AssertHolds("Connection: Close", answer);
    CPPUNIT_ASSERT(served.mServer->Stop(kVeryLong));
  });
  aStory.It("cannot listen where another does", [] {
    Served served;
    FakeNode node;
    const auto second = GatewayServer::Start(
      { .mAddress = served.mServer->Address() }, node.Hooks());
    CPPUNIT_ASSERT(absl::IsUnavailable(second.status()));
    const auto wrong =
      GatewayServer::Start({ .mAddress = "nowhere" }, node.Hooks());
    CPPUNIT_ASSERT(!wrong.ok());
  });
}

} // namespace

void
ServerStory(Section& aStory)
{
  aStory.Describe("and a body", BodiesStory);
  aStory.Describe("and hostile headers, which", HeadersStory);
  aStory.Describe("at a stop", StopStory);
  aStory.It("serves many requests on one connection, with its headers", [] {
    const Served served;
    Poco::Net::StreamSocket socket = served.Connect();
    for (int count = 0; count < 3; ++count) {
      Send(socket, "GET /v1/configuration HTTP/1.1\r\nHost: x\r\n\r\n");
      AssertHolds("ETag: \"7\"", ReceiveOne(socket));
    }
    Send(socket, "PUT /v1/requests HTTP/1.1\r\nContent-Length: 0\r\n\r\n");
    AssertHolds("Allow: POST", ReceiveOne(socket));
  });
  aStory.It("lets several callers wait, however few its threads", [] {
    Served served;
    std::promise<void> reached;
    std::promise<void> release;
    std::atomic<bool> first{ true };
    served.mNode.mDuringCall = [&] {
      if (first.exchange(false)) {
        reached.set_value();
        release.get_future().wait();
      }
    };
    const std::string submit = Post("Connection: close\r\nContent-Length: " +
                                      std::to_string(kGoodBody.size()) + "\r\n",
                                    kGoodBody);
    Poco::Net::StreamSocket waiting = served.Connect();
    Send(waiting, submit);
    reached.get_future().wait();
    const std::string second = Ask(served, submit);
    release.set_value();
    AssertHolds("HTTP/1.1 200", second);
    AssertHolds("HTTP/1.1 200", ReceiveAll(waiting));
  });
  aStory.It("keeps threads free from connections that stay open", [] {
    const Served served({ .mIdleTimeout = kVeryLong });
    const std::string ask = "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n";
    std::vector<Poco::Net::StreamSocket> open;
    for (int count = 0; count < 20; ++count) {
      open.push_back(served.Connect());
      Send(open.back(), ask);
      const std::string answer = ReceiveOne(open.back());
      AssertHolds("HTTP/1.1 200", answer);
      AssertHolds(count < 6 ? "Keep-Alive" : "Close", answer);
    }
  });
  aStory.It("answers also when the node behind it fails by itself", [] {
    Served served;
    served.mNode.mDuringCall = [] { throw std::runtime_error("fault"); };
    const std::string answer =
      Ask(served, "GET /v1/requests/r1 HTTP/1.1\r\nHost: x\r\n\r\n");
    AssertHolds("HTTP/1.1 500", answer);
    AssertHolds("not_known_yet", answer);
  });
  aStory.It("rounds Retry-After up to whole seconds", [] {
    Served served;
    served.mNode.mStatus = { .mOutcome = protocol::Outcome::NotRun,
                             .mReason = protocol::RefusalReason::Overloaded,
                             .mRetryAfter = std::chrono::milliseconds(1'001) };
    AssertHolds("Retry-After: 2",
                Ask(served,
                    Post("Connection: close\r\nContent-Length: " +
                           std::to_string(kGoodBody.size()) + "\r\n",
                         kGoodBody)));
  });
}

} // namespace oriolevane::gateway
