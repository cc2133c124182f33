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
}

} // namespace oriolevane::gateway
