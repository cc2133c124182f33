#include "peers/internal/wakesocket.h"

#include <array>

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>

#include "framework/log.h"

namespace oriolevane::peers {

WakeSocket::WakeSocket()
  : mSocket(Poco::Net::SocketAddress("127.0.0.1", 0), false)
{
  mSocket.connect(mSocket.address());
  mSocket.setBlocking(false);
}

void
WakeSocket::Wake()
{
  try {
    const char byte = 0;
    mSocket.sendBytes(&byte, 1);
  } catch (const Poco::Exception& fault) {
    // A full buffer wakes the thread as well.
    LogDebug("wake_failed").With("reason", fault.displayText());
  }
}

void
WakeSocket::Drain()
{
  std::array<char, 64> bytes{};
  try {
    while (mSocket.receiveBytes(bytes.data(), bytes.size()) > 0) {
    }
  } catch (const Poco::Exception& fault) {
    LogDebug("wake_drain_failed").With("reason", fault.displayText());
  }
}

} // namespace oriolevane::peers
