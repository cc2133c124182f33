#include <array>
#include <atomic>
#include <string>
#include <thread>
#include <vector>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include "eventloop/httpclient.h"
#include "eventloop/tests/testgroups.h"

namespace oriolevane {

using testing::Section;
using namespace eventloop;
using namespace std::chrono_literals;

namespace {

const SocketAddress kAddress{ .mHost = "127.0.0.1", .mPort = 17804 };
constexpr std::size_t kMegabyte = 1U << 20U;
// What a server sends at most, and what a client may take of it. The latter
// includes what the system holds for the sockets.
constexpr std::size_t kSentBytes = 64 * kMegabyte;
constexpr std::size_t kMaxTakenBytes = 32 * kMegabyte;

// Answers each connection with a start and then the same text again and again,
// up to a number of bytes, and keeps the connection open.
class EndlessServer
{
public:
  EndlessServer(std::string aStart, std::string aText, std::size_t aBytes)
    : mStart(std::move(aStart))
    , mText(std::move(aText))
    , mBytes(aBytes)
    , mListener(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
  {
    const int on = 1;
    setsockopt(mListener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(kAddress.mPort);
    inet_pton(AF_INET, kAddress.mHost.c_str(), &address.sin_addr);
    CPPUNIT_ASSERT_EQUAL(
      0,
      bind(mListener, reinterpret_cast<sockaddr*>(&address), sizeof(address)));
    CPPUNIT_ASSERT_EQUAL(0, listen(mListener, 16));
    mThread = std::thread([this] { Accept(); });
  }
  EndlessServer(const EndlessServer&) = delete;
  EndlessServer& operator=(const EndlessServer&) = delete;
  ~EndlessServer()
  {
    shutdown(mListener, SHUT_RDWR);
    mThread.join();
    for (std::thread& thread : mServing) {
      thread.join();
    }
    close(mListener);
  }

  std::size_t Sent() const { return mSent; }

private:
  void Accept()
  {
    while (true) {
      const int accepted = accept(mListener, nullptr, nullptr);
      if (accepted < 0) {
        return;
      }
      mServing.emplace_back([this, accepted] {
        Serve(accepted);
        close(accepted);
      });
    }
  }
  bool Send(int aSocket, const std::string& aText)
  {
    const ssize_t sent =
      send(aSocket, aText.data(), aText.size(), MSG_NOSIGNAL);
    mSent += sent > 0 ? static_cast<std::size_t>(sent) : 0;
    return sent == static_cast<ssize_t>(aText.size());
  }
  void Serve(int aSocket)
  {
    std::array<char, 4096> request{};
    bool open = recv(aSocket, request.data(), request.size(), 0) > 0 &&
                Send(aSocket, mStart);
    for (std::size_t sent = 0; open && sent < mBytes; sent += mText.size()) {
      open = Send(aSocket, mText);
    }
    while (recv(aSocket, request.data(), request.size(), 0) > 0) {
    }
  }

  std::string mStart;
  std::string mText;
  std::size_t mBytes;
  int mListener;
  std::atomic<std::size_t> mSent{ 0 };
  std::vector<std::thread> mServing;
  std::thread mThread;
};

// Sends one request to a server that answers like this, and returns how many
// bytes the client has taken. The client must give no response.
std::size_t
BytesTaken(const std::string& aStart, const std::string& aText)
{
  EventLoop loop;
  std::size_t sent = 0;
  {
    const EndlessServer server(aStart, aText, kSentBytes);
    HttpClient client(loop);
    HttpOutcome outcome = absl::UnknownError("no outcome");
    client.Send(kAddress, { .mTarget = "/" }, 1s, [&](HttpOutcome aOutcome) {
      outcome = std::move(aOutcome);
      loop.Stop();
    });
    loop.Run();
    CPPUNIT_ASSERT(!outcome.ok());
    // Closes the connection of the finished exchange.
    const auto stop = loop.MakeTimer([&] { loop.Stop(); });
    stop->StartAfter(1ms);
    loop.Run();
    sent = server.Sent();
  }
  return sent;
}

// Each of these guards against an answer that fills the client's memory.
void
SingleResponseTests(Section& aSection)
{
  const std::string ok = "HTTP/1.1 200 OK\r\n";
  const std::string line(65'536, 'x');
  aSection.It("has a status line without end is cut off", [=] {
    CPPUNIT_ASSERT(BytesTaken("HTTP/1.1 200 ", line) < kMaxTakenBytes);
  });
  aSection.It("has headers without end is cut off", [=] {
    CPPUNIT_ASSERT(BytesTaken(ok, "X-Long: " + line + "\r\n") < kMaxTakenBytes);
  });
  aSection.It("has a body without end is cut off", [=] {
    CPPUNIT_ASSERT(BytesTaken(ok + "\r\n", line) < kMaxTakenBytes);
  });
  aSection.It("announces a long body is cut off", [=] {
    CPPUNIT_ASSERT(BytesTaken(ok + "Content-Length: 1000000000\r\n\r\n", line) <
                   kMaxTakenBytes);
  });
  aSection.It("has chunks without end is cut off", [=] {
    CPPUNIT_ASSERT(BytesTaken(ok + "Transfer-Encoding: chunked\r\n\r\n",
                              "10000\r\n" + line + "\r\n") < kMaxTakenBytes);
  });
  aSection.It("has a chunk's length without end is cut off", [=] {
    CPPUNIT_ASSERT(BytesTaken(ok + "Transfer-Encoding: chunked\r\n\r\n",
                              std::string(65'536, '0')) < kMaxTakenBytes);
  });
}

void
CrowdTests(Section& aSection)
{
  // Guards against many answers that each stay within the limit of one.
  aSection.It("and others together are too long fails, the longest first", [] {
    constexpr int kRequests = 6;
    constexpr std::size_t kHeldBytes = 8 * kMegabyte;
    EventLoop loop;
    int unavailable = 0;
    int done = 0;
    const EndlessServer server("HTTP/1.1 200 OK\r\n"
                               "Content-Length: 12000000\r\n\r\n",
                               std::string(65'536, 'x'),
                               kHeldBytes);
    HttpClient client(loop, { .mMaxReceivedBytes = 24 * kMegabyte });
    for (int count = 0; count < kRequests; ++count) {
      client.Send(
        kAddress, { .mTarget = "/" }, 5s, [&](const HttpOutcome& aOutcome) {
          unavailable += absl::IsUnavailable(aOutcome.status()) ? 1 : 0;
          if (++done == kRequests || unavailable == kRequests / 2) {
            loop.Stop();
          }
        });
    }
    loop.Run();
    CPPUNIT_ASSERT_EQUAL(kRequests / 2, unavailable);
  });
  // Guards against a crowd of servers that takes all descriptors.
  aSection.It("needs too many connections is not asked for", [] {
    EventLoop loop;
    std::vector<HttpOutcome> outcomes;
    const EndlessServer server("", "", 0);
    HttpClient client(loop, { .mMaxConnections = 2 });
    for (int count = 0; count < 3; ++count) {
      client.Send(kAddress, { .mTarget = "/" }, 1s, [&](HttpOutcome aOutcome) {
        outcomes.push_back(std::move(aOutcome));
        loop.Stop();
      });
    }
    loop.Run();
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, outcomes.size());
    CPPUNIT_ASSERT(absl::IsUnavailable(outcomes[0].status()));
  });
  aSection.It("leaves a connection idle gives it up for a new one", [] {
    EventLoop loop;
    int answered = 0;
    const EndlessServer server(
      "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", "", 0);
    HttpClient client(loop, { .mMaxConnections = 1 });
    const SocketAddress other{ .mHost = "127.0.0.1", .mPort = 17805 };
    std::vector<HttpOutcome> outcomes;
    client.Send(
      kAddress, { .mTarget = "/" }, 1s, [&](const HttpOutcome& aOutcome) {
        answered += aOutcome.ok() ? 1 : 0;
        // Nobody listens there.
        client.Send(other, { .mTarget = "/" }, 1s, [&](HttpOutcome aNext) {
          outcomes.push_back(std::move(aNext));
          loop.Stop();
        });
      });
    loop.Run();
    CPPUNIT_ASSERT_EQUAL(1, answered);
    CPPUNIT_ASSERT_EQUAL(std::string("connection failed"),
                         std::string(outcomes[0].status().message()));
  });
}

} // namespace

void
HostileServerTests(Section& aRoot)
{
  aRoot.Describe("a response that", [](Section& aSection) {
    SingleResponseTests(aSection);
    CrowdTests(aSection);
  });
}

} // namespace oriolevane
