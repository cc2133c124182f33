#include "store/httpplatform.h"

#include <functional>
#include <string>
#include <thread>

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>
#include <fmt/format.h>

#include "store/tests/stories.h"

namespace oriolevane::store {

using testing::Section;

namespace {

// Answers each of a number of connections with the same bytes, whatever was
// asked, and closes it.
class CannedServer
{
public:
  CannedServer(std::string aAnswer, int aConnections)
    : mSocket(Poco::Net::SocketAddress("127.0.0.1:0"))
    , mThread([this, aConnections, answer = std::move(aAnswer)] {
      for (int at = 0; at < aConnections; ++at) {
        Poco::Net::StreamSocket connection = mSocket.acceptConnection();
        char request[4096];
        connection.receiveBytes(request, sizeof(request));
        connection.sendBytes(answer.data(), static_cast<int>(answer.size()));
        connection.shutdownSend();
      }
    })
  {
  }
  ~CannedServer() { mThread.join(); }
  CannedServer(const CannedServer&) = delete;
  CannedServer& operator=(const CannedServer&) = delete;

  HttpPlatform Connect() const
  {
    return *ConnectHttpPlatform({ .mAddress = mSocket.address().toString(),
                                  .mRequestTimeout = std::chrono::seconds(10),
                                  .mMaxBodyBytes = 1000 });
  }

private:
  Poco::Net::ServerSocket mSocket;
  std::thread mThread;
};

std::string
Answer(const std::string& aBody, std::size_t aClaimedBytes)
{
  return fmt::format(
    "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{}", aClaimedBytes, aBody);
}

absl::Status
CommitAgainst(const std::string& aAnswer)
{
  const CannedServer server(aAnswer, 1);
  return server.Connect().mTable.mCommit({}).status();
}

} // namespace

void
BadAnswersStory(Section& aStory)
{
  aStory.It("to a commit leave open whether it was applied", [] {
    const std::string large(5000, ' ');
    for (const std::string& answer :
         { std::string("garbage\r\n\r\n"),
           std::string(),
           Answer(R"({"rows": []})", 500),
           Answer(R"({"rows": [)", 10),
           Answer(large, large.size()),
           std::string("HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n") }) {
      CPPUNIT_ASSERT(absl::IsDeadlineExceeded(CommitAgainst(answer)));
    }
  });
  aStory.It("to a read are asked for once more, then reported", [] {
    const CannedServer cut(Answer("{", 50), 2);
    CPPUNIT_ASSERT(
      absl::IsDeadlineExceeded(cut.Connect().mTable.mRead("a").status()));
    const CannedServer garbage(Answer("{}", 2), 1);
    CPPUNIT_ASSERT(
      absl::IsDataLoss(garbage.Connect().mTable.mRead("a").status()));
  });
  aStory.It("are told from requests that are too large to send", [] {
    const auto platform =
      ConnectHttpPlatform({ .mAddress = "127.0.0.1:1", .mMaxBodyBytes = 10 });
    CPPUNIT_ASSERT(absl::IsResourceExhausted(
      platform->mObjects.mPut("a", std::string(11, 'x'))));
  });
  aStory.It("include addresses that are none", [] {
    CPPUNIT_ASSERT(absl::IsInvalidArgument(
      ConnectHttpPlatform({ .mAddress = "nowhere" }).status()));
  });
}

} // namespace oriolevane::store
