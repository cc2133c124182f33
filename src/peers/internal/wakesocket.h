// Wakes a thread that waits in a poll set.
#pragma once

#include <Poco/Net/DatagramSocket.h>

namespace oriolevane::peers {

// A datagram socket connected to itself, as a poll set takes only sockets.
class WakeSocket
{
public:
  WakeSocket();

  // From any thread.
  void Wake();
  // Takes what has come in.
  void Drain();
  const Poco::Net::DatagramSocket& Socket() const { return mSocket; }

private:
  Poco::Net::DatagramSocket mSocket;
};

} // namespace oriolevane::peers
