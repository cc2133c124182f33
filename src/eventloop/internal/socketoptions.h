// Socket options and address conversion shared by the TCP classes.
#pragma once

#include <netinet/in.h>

#include "eventloop/types/socketaddress.h"
#include "framework/types/timepoint.h"

namespace oriolevane::eventloop {

// Sets TCP_NODELAY, so that small writes are sent immediately, and
// TCP_USER_TIMEOUT, which closes a connection whose peer has not acknowledged
// sent data for aUserTimeout (millisecond resolution).
void
SetStreamOptions(int aSocket, Duration aUserTimeout);

// Bounds what the system keeps of a connection in each direction. Set on a
// listening socket, it holds for those that it accepts.
void
SetBufferSizes(int aSocket, int aBytes);

// Converts an address for the socket functions. Returns false when the host is
// not an IPv4 address in dotted notation.
bool
ToSockaddr(const SocketAddress& aAddress, sockaddr_in& aResult);

} // namespace oriolevane::eventloop
