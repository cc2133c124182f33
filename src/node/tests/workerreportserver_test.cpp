#include "node/internal/workerreportserver.h"

#include <algorithm>
#include <array>
#include <string>

#include <Poco/Exception.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>

#include "framework/testing/testgroup.h"

namespace oriolevane::node {

using testing::Section;

namespace {

// Longer than a request of these tests may take, many times.
constexpr int kMostWaits = 1'000;
constexpr int kWaitMicroseconds = 5'000;

std::unique_ptr<WorkerReportServer>
MakeServer()
{
  auto server = WorkerReportServer::Start(
    "127.0.0.1:0",
    [](const protocol::WorkerReport&) { return true; },
    std::chrono::milliseconds(100));
  CPPUNIT_ASSERT(server.ok());
  return *std::move(server);
}

// Sends a byte now and then until the server closes the connection.
bool
IsCutOff(Poco::Net::StreamSocket& aSocket)
{
  try {
    for (int wait = 0; wait < kMostWaits; ++wait) {
      if (aSocket.poll(kWaitMicroseconds, Poco::Net::Socket::SELECT_READ)) {
        return true;
      }
      aSocket.sendBytes("x", 1);
    }
  } catch (const Poco::Net::NetException&) {
    return true;
  }
  return false;
}

std::string
FirstLine(const WorkerReportServer& aServer, const std::string& aText)
{
  Poco::Net::StreamSocket socket{ Poco::Net::SocketAddress(aServer.Address()) };
  socket.sendBytes(aText.data(), static_cast<int>(aText.size()));
  std::array<char, 4096> answer{};
  const int count = socket.receiveBytes(answer.data(), answer.size());
  const std::string text(answer.data(),
                         static_cast<std::size_t>(std::max(count, 0)));
  return text.substr(0, text.find('\r'));
}

} // namespace

void
WorkerReportServerTests(Section& aRoot)
{
  // Guards against a few workers that hold all threads without end.
  aRoot.It("cuts a report off that arrives byte by byte", [] {
    const auto server = MakeServer();
    Poco::Net::StreamSocket socket{ Poco::Net::SocketAddress(
      server->Address()) };
    const std::string start = "POST /v1/worker-reports HTTP/1.1\r\nX-Slow: ";
    socket.sendBytes(start.data(), static_cast<int>(start.size()));
    CPPUNIT_ASSERT(IsCutOff(socket));
  });
  // Guards against a limit on headers that concerns bodies.
  aRoot.It("reads a long body whole", [] {
    const auto server = MakeServer();
    CPPUNIT_ASSERT_EQUAL(std::string("HTTP/1.1 400 Bad Request"),
                         FirstLine(*server,
                                   "POST /v1/worker-reports HTTP/1.1\r\n"
                                   "Content-Length: 200000\r\n\r\n" +
                                     std::string(200'000, ' ')));
  });
}

} // namespace oriolevane::node
