// The gateway's listening socket. Alone on its port, and with limits on the
// time that a request may take to arrive and on the size of its headers.
#pragma once

#include <chrono>
#include <string>

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>

namespace oriolevane::gateway {

// From the first byte of a request to its last; a caller that sends byte by
// byte is cut off then. Connections without a
// request are not concerned. Throws Poco exceptions when the address cannot be
// listened on.
Poco::Net::ServerSocket
ListenForCallers(const std::string& aAddress,
                 std::chrono::milliseconds aRequestLimit);

// To be called when the headers of a request have been read: what follows is
// the body, which has another limit than they have.
void
EndHead(Poco::Net::StreamSocket& aSocket);

} // namespace oriolevane::gateway
