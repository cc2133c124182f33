// Options that every TCP socket of a process has.
#pragma once

#include <netinet/in.h>

#include "eventloop/types/socketaddress.h"
#include "framework/types/timepoint.h"

namespace oriolevane::eventloop {

// Sends small writes at once, and ends a connection whose peer has not
// acknowledged written bytes for so long.
void
SetStreamOptions(int aSocket, Duration aUnacknowledgedLimit);

// False when the address is not IPv4.
bool
ToSockaddr(const SocketAddress& aAddress, sockaddr_in& aResult);

} // namespace oriolevane::eventloop
