#include <atomic>
#include <cerrno>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include <event2/event.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#include "eventloop/httpserver.h"
#include "eventloop/internal/socketoptions.h"
#include "eventloop/tests/testgroups.h"

namespace oriolevane {

using testing::Section;
using namespace eventloop;
using namespace std::chrono_literals;

namespace {

const SocketAddress kAddress{ .mHost = "127.0.0.1", .mPort = 17807 };
const char* const kRequest = "GET / HTTP/1.1\r\nHost: x\r\n\r\n";

// A server on its own thread that answers GET at once and leaves other requests
// without an answer until the end.
class LimitedServer
{
public:
  LimitedServer(std::size_t aMaxConnections,
                ConnectionLimits aLimits,
                std::size_t aResponseBytes = 2)
    : mTable(std::make_shared<ConnectionTable>(mLoop, aLimits))
    , mServer(mLoop,
              { .mAddress = kAddress,
                .mMaxHeaderBytes = 1'000'000,
                .mMaxConnections = aMaxConnections,
                .mConnections = mTable },
              [this, aResponseBytes](const HttpRequest& aRequest,
                                     HttpReplyCallback aReply) {
                if (aRequest.mMethod == HttpMethod::Get) {
                  aReply({ .mStatus = 200,
                           .mBody = std::string(aResponseBytes, 'x') });
                } else {
                  mPending.push_back(std::move(aReply));
                }
              })
  {
    CPPUNIT_ASSERT(mServer.Listen().ok());
    mThread = std::thread([this] { mLoop.Run(); });
  }
  ~LimitedServer()
  {
    if (mThread.joinable()) {
      Stop();
    }
  }
  LimitedServer(const LimitedServer&) = delete;
  LimitedServer& operator=(const LimitedServer&) = delete;

  // Ends the server's thread and returns how many connections it closed.
  std::uint64_t Stop(CloseReason aReason = CloseReason::TooManyConnections)
  {
    mIsStopping = true;
    mThread.join();
    return mTable->Counts().mClosed.at(aReason);
  }

  // Number of open connections when the server ends now.
  std::size_t OpenConnections()
  {
    Stop();
    return mTable->Counts().mOpen;
  }

private:
  void StopIfAsked()
  {
    if (mIsStopping) {
      mLoop.Stop();
    } else {
      mPoll->StartAfter(5ms);
    }
  }

  EventLoop mLoop;
  std::shared_ptr<ConnectionTable> mTable;
  HttpServer mServer;
  std::vector<HttpReplyCallback> mPending;
  std::atomic<bool> mIsStopping = false;
  std::unique_ptr<Timer> mPoll = [this] {
    auto timer = mLoop.MakeTimer([this] { StopIfAsked(); });
    timer->StartAfter(5ms);
    return timer;
  }();
  std::thread mThread;
};

// A client that sends what it likes.
class RawClient
{
public:
  explicit RawClient(const std::string& aText = "")
    : mSocket(socket(AF_INET, SOCK_STREAM, 0))
  {
    constexpr timeval kLongestWait{ .tv_sec = 10 };
    setsockopt(
      mSocket, SOL_SOCKET, SO_RCVTIMEO, &kLongestWait, sizeof(kLongestWait));
    sockaddr_in address{};
    ToSockaddr(kAddress, address);
    CPPUNIT_ASSERT_EQUAL(
      0,
      connect(mSocket, reinterpret_cast<sockaddr*>(&address), sizeof(address)));
    Send(aText);
  }
  ~RawClient() { close(mSocket); }
  RawClient(const RawClient&) = delete;
  RawClient& operator=(const RawClient&) = delete;

  void Send(const std::string& aText) const
  {
    send(mSocket, aText.data(), aText.size(), MSG_NOSIGNAL);
  }
  // Returns whether a request on the connection is answered.
  bool IsServed() const
  {
    Send(kRequest);
    char byte = 0;
    return recv(mSocket, &byte, 1, 0) == 1;
  }
  // Returns whether that many responses arrive.
  bool AwaitResponses(std::size_t aCount) const
  {
    std::string received;
    std::string buffer(65536, '\0');
    while (aCount > 0) {
      const ssize_t result = recv(mSocket, buffer.data(), buffer.size(), 0);
      if (result <= 0) {
        return false;
      }
      received.append(buffer, 0, static_cast<std::size_t>(result));
      for (std::size_t place = received.find("200 OK");
           place != std::string::npos && aCount > 0;
           place = received.find("200 OK")) {
        received.erase(0, place + 1);
        --aCount;
      }
    }
    return true;
  }
  // Waits for the end of the connection, and returns the number of bytes that
  // came before it, or nothing when it does not end.
  std::optional<std::size_t> AwaitClose() const
  {
    std::size_t bytes = 0;
    std::string buffer(65536, '\0');
    while (true) {
      const ssize_t result = recv(mSocket, buffer.data(), buffer.size(), 0);
      if (result > 0) {
        bytes += static_cast<std::size_t>(result);
      } else if (result == 0 || errno == ECONNRESET) {
        return bytes;
      } else {
        return std::nullopt;
      }
    }
  }

private:
  int mSocket;
};

std::string
UnfinishedHead(std::size_t aBytes)
{
  return "GET / HTTP/1.1\r\nX: " + std::string(aBytes, 'y');
}

std::string
UnansweredRequest(std::size_t aBytes)
{
  return "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: " +
         std::to_string(aBytes) + "\r\n\r\n" + std::string(aBytes, 'z');
}

void
TestNumber(Section& aRoot)
{
  aRoot.Describe("a server with as many connections as it may have",
                 [](Section& aSection) {
                   aSection.It("closes the oldest idle one for a new one", [] {
                     LimitedServer server(2, {});
                     const RawClient first;
                     CPPUNIT_ASSERT(first.IsServed());
                     const RawClient second;
                     CPPUNIT_ASSERT(second.IsServed());
                     const RawClient third;
                     CPPUNIT_ASSERT(third.IsServed());
                     CPPUNIT_ASSERT(first.AwaitClose().has_value());
                     CPPUNIT_ASSERT(second.IsServed());
                     CPPUNIT_ASSERT(server.Stop() == 1);
                   });
                   aSection.It("closes the new one while all are answered", [] {
                     LimitedServer server(2, {});
                     const RawClient first(UnansweredRequest(10));
                     const RawClient second(UnansweredRequest(10));
                     // The two connections are read before the third.
                     std::this_thread::sleep_for(100ms);
                     const RawClient third;
                     CPPUNIT_ASSERT(third.AwaitClose().has_value());
                     CPPUNIT_ASSERT(server.Stop() == 1);
                   });
                 });
}

// Lets this process open one more descriptor until the end of the scope.
class LastDescriptor
{
public:
  LastDescriptor()
  {
    getrlimit(RLIMIT_NOFILE, &mBefore);
    rlimit lowered = mBefore;
    const int next = dup(STDIN_FILENO);
    close(next);
    lowered.rlim_cur = static_cast<rlim_t>(next) + 1;
    setrlimit(RLIMIT_NOFILE, &lowered);
  }
  ~LastDescriptor() { setrlimit(RLIMIT_NOFILE, &mBefore); }
  LastDescriptor(const LastDescriptor&) = delete;
  LastDescriptor& operator=(const LastDescriptor&) = delete;

private:
  rlimit mBefore{};
};

std::atomic<int> libraryLines = 0;

void
TestDescriptors(Section& aRoot)
{
  aRoot.Describe("a server without a free descriptor", [](Section& aSection) {
    aSection.It("pauses instead of trying without end, and goes on later", [] {
      event_set_log_callback([](int, const char*) { ++libraryLines; });
      LimitedServer server(100, {});
      std::optional<RawClient> client;
      {
        const LastDescriptor limit;
        client.emplace();
        std::this_thread::sleep_for(300ms);
      }
      event_set_log_callback(nullptr);
      CPPUNIT_ASSERT(client->IsServed());
      CPPUNIT_ASSERT_EQUAL(0, libraryLines.load());
    });
  });
}

void
TestSum(Section& aRoot)
{
  aRoot.Describe(
    "a server that holds more bytes than it may", [](Section& aSection) {
      const ConnectionLimits limits{ .mMaxBufferedBytes = 200'000 };
      aSection.It("closes the connection that holds most", [limits] {
        LimitedServer server(100, limits);
        const RawClient small(UnfinishedHead(10'000));
        const RawClient large(UnfinishedHead(195'000));
        CPPUNIT_ASSERT(large.AwaitClose().has_value());
        small.Send("\r\n\r\n");
        CPPUNIT_ASSERT(small.IsServed());
        CPPUNIT_ASSERT(server.Stop(CloseReason::TooMuchBuffered) == 1);
      });
      aSection.It("counts short header lines with what they take", [limits] {
        LimitedServer server(100, limits);
        std::string head = "GET / HTTP/1.1\r\n";
        for (int line = 0; line < 2000; ++line) {
          head += "a:b\r\n";
        }
        const RawClient client(head);
        CPPUNIT_ASSERT(client.AwaitClose().has_value());
        CPPUNIT_ASSERT(server.Stop(CloseReason::TooMuchBuffered) == 1);
      });
      aSection.It("leaves a request to its handler", [limits] {
        LimitedServer server(100, limits);
        const RawClient answered(UnansweredRequest(150'000));
        std::this_thread::sleep_for(100ms);
        const RawClient other(UnfinishedHead(100'000));
        CPPUNIT_ASSERT(other.AwaitClose().has_value());
        CPPUNIT_ASSERT(server.Stop(CloseReason::TooMuchBuffered) == 1);
      });
    });
}

void
TestTime(Section& aRoot)
{
  aRoot.Describe("a client", [](Section& aSection) {
    aSection.It("that does not finish its request in time is cut off", [] {
      LimitedServer server(100, { .mRequestTimeout = 100ms });
      const RawClient client(UnfinishedHead(100));
      CPPUNIT_ASSERT(client.AwaitClose().has_value());
      CPPUNIT_ASSERT(server.Stop(CloseReason::RequestTimeout) == 1);
    });
    aSection.It("that does not take its response in time is cut off", [] {
      constexpr std::size_t kResponseBytes = 30'000'000;
      LimitedServer server(
        100,
        { .mMaxBufferedBytes = 2 * kResponseBytes, .mResponseTimeout = 100ms },
        kResponseBytes);
      const RawClient client(kRequest);
      std::this_thread::sleep_for(1500ms);
      const auto received = client.AwaitClose();
      CPPUNIT_ASSERT(received.has_value() && *received < kResponseBytes);
      CPPUNIT_ASSERT(server.Stop(CloseReason::ResponseTimeout) == 1);
    });
    // Guards against a library that ends the process when more arrives while
    // the handler has a request.
    aSection.It("may send more while its request is being answered", [] {
      LimitedServer server(100, {});
      const RawClient client(UnansweredRequest(10));
      std::this_thread::sleep_for(50ms);
      client.Send(std::string(100'000, 'x'));
      std::this_thread::sleep_for(50ms);
      const RawClient other;
      CPPUNIT_ASSERT(other.IsServed());
      CPPUNIT_ASSERT(server.OpenConnections() == 2);
    });
    // Guards against requests that are left unread behind the first ones.
    aSection.It("gets a response to each request that it sends at once", [] {
      constexpr std::size_t kRequests = 1000;
      LimitedServer server(100, {});
      std::string requests;
      for (std::size_t i = 0; i < kRequests; ++i) {
        requests += kRequest;
      }
      const RawClient client(requests);
      CPPUNIT_ASSERT(client.AwaitResponses(kRequests));
      CPPUNIT_ASSERT(server.Stop() == 0);
    });
  });
}

} // namespace

void
ConnectionTableTests(Section& aRoot)
{
  TestNumber(aRoot);
  TestDescriptors(aRoot);
  TestSum(aRoot);
  TestTime(aRoot);
}

} // namespace oriolevane
