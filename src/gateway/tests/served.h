// A gateway on a free port in front of a FakeNode, and raw calls to it.
#pragma once

#include <array>
#include <chrono>
#include <memory>
#include <string>

#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>

#include "gateway/gatewayserver.h"
#include "gateway/tests/fakenode.h"

namespace oriolevane::gateway {

// So long that a test that needs it to end has failed.
constexpr std::chrono::minutes kVeryLong{ 10 };

struct Served
{
  FakeNode mNode;
  std::unique_ptr<GatewayServer> mServer;

  explicit Served(GatewayOptions aOptions = {})
  {
    aOptions.mAddress = "127.0.0.1:0";
    aOptions.mThreads = 8;
    aOptions.mMaxBodyBytes = 4'096;
    auto server = GatewayServer::Start(aOptions, mNode.Hooks());
    CPPUNIT_ASSERT(server.ok());
    mServer = *std::move(server);
  }

  Poco::Net::StreamSocket Connect() const
  {
    return Poco::Net::StreamSocket(
      Poco::Net::SocketAddress(mServer->Address()));
  }
};

inline void
Send(Poco::Net::StreamSocket& aSocket, const std::string& aText)
{
  std::size_t sent = 0;
  while (sent < aText.size()) {
    sent += static_cast<std::size_t>(aSocket.sendBytes(
      aText.data() + sent, static_cast<int>(aText.size() - sent)));
  }
}

// All that comes until the server closes the connection.
inline std::string
ReceiveAll(Poco::Net::StreamSocket& aSocket)
{
  std::string text;
  std::array<char, 4'096> chunk{};
  int count = 1;
  while (count > 0) {
    count = aSocket.receiveBytes(chunk.data(), chunk.size());
    text.append(chunk.data(), static_cast<std::size_t>(count));
  }
  return text;
}

inline std::string
Ask(const Served& aServed, const std::string& aText)
{
  Poco::Net::StreamSocket socket = aServed.Connect();
  Send(socket, aText);
  socket.shutdownSend();
  return ReceiveAll(socket);
}

inline void
AssertHolds(const std::string& aPart, const std::string& aText)
{
  CPPUNIT_ASSERT_MESSAGE(aText, aText.find(aPart) != std::string::npos);
}

} // namespace oriolevane::gateway
