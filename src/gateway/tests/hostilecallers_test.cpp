#include <sys/socket.h>

#include <thread>

#include <Poco/Exception.h>
#include <Poco/Net/NetException.h>

#include "framework/testing/testgroup.h"
#include "gateway/tests/served.h"

namespace oriolevane::gateway {

using testing::Section;

namespace {

bool
IsAnswered(const Served& aServed, const std::string& aText)
{
  try {
    return Ask(aServed, aText).find("HTTP/1.1 200") != std::string::npos;
  } catch (const Poco::Net::NetException&) {
    return false;
  }
}

// Returns how many bytes were sent before the server closed the connection, at
// most aMost.
std::size_t
SendUntilClosed(Poco::Net::StreamSocket& aSocket,
                const std::string& aText,
                std::size_t aMost)
{
  std::size_t sent = 0;
  try {
    while (sent < aMost &&
           !aSocket.poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ)) {
      Send(aSocket, aText);
      sent += aText.size();
    }
  } catch (const Poco::Net::NetException&) {
    // Closed while it was sent.
  }
  return sent;
}

// Sends as much as the socket takes at once, of a text that is repeated without
// end and of which aSent bytes have been sent. Returns 0 once the server has
// closed the connection.
std::size_t
SendRepeated(Poco::Net::StreamSocket& aSocket,
             const std::string& aText,
             std::size_t aSent)
{
  const std::string rest = aText.substr(aSent % aText.size());
  const ssize_t sent = send(aSocket.impl()->sockfd(),
                            rest.data(),
                            rest.size(),
                            MSG_DONTWAIT | MSG_NOSIGNAL);
  return sent > 0 ? static_cast<std::size_t>(sent) : 0;
}

void
HeadersStory(Section& aStory)
{
  // Guards against headers that fill the memory, one by one within the limits.
  aStory.It("has headers that are too long together is cut off", [] {
    const Served served;
    const std::string field = "X-Long: " + std::string(8'000, 'x') + "\r\n";
    std::string text = "GET /healthz HTTP/1.1\r\nConnection: close\r\n";
    for (int count = 0; count < 50; ++count) {
      text += field;
    }
    CPPUNIT_ASSERT(!IsAnswered(served, text + "\r\n"));
  });
  aStory.It("sends empty lines without end is cut off", [] {
    constexpr std::size_t kMostBytes = 67'108'864;
    const Served served(
      { .mBodyTimeout = kVeryLong, .mIdleTimeout = kVeryLong });
    Poco::Net::StreamSocket socket = served.Connect();
    const std::string lines(8'192, '\n');
    CPPUNIT_ASSERT(SendUntilClosed(socket, lines, kMostBytes) < kMostBytes);
  });
  // Guards against a limit on headers that resets callers who still send.
  aStory.It("is refused before its long body is answered", [] {
    const Served served;
    AssertHolds("HTTP/1.1 400",
                Ask(served,
                    "POST /v1/requests/%zz HTTP/1.1\r\n"
                    "Content-Length: 200000\r\n\r\n" +
                      std::string(200'000, ' ')));
  });
}

} // namespace

void
HostileCallersStory(Section& aStory)
{
  HeadersStory(aStory);
  // Guards against threads that wait without end for callers.
  aStory.It("does not read its responses is cut off", [] {
    constexpr std::size_t kMostBytes = 67'108'864;
    constexpr int kMostWaits = 1'000;
    const Served served({ .mBodyTimeout = std::chrono::milliseconds(100) });
    Poco::Net::StreamSocket socket = served.Connect();
    std::string requests;
    for (int count = 0; count < 100; ++count) {
      requests += "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n";
    }
    std::size_t sent = 0;
    std::size_t taken = 1;
    while (taken > 0 && sent < kMostBytes) {
      const bool writable =
        socket.poll(Poco::Timespan(0, 50'000), Poco::Net::Socket::SELECT_WRITE);
      taken = writable ? SendRepeated(socket, requests, sent) : 0;
      sent += taken;
    }
    CPPUNIT_ASSERT(sent < kMostBytes);
    for (int wait = 0;
         wait < kMostWaits && served.mServer->ActiveConnections() > 0;
         ++wait) {
      std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
    CPPUNIT_ASSERT_EQUAL(0, served.mServer->ActiveConnections());
  });
}

} // namespace oriolevane::gateway
