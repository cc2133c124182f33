// The gateway's listening socket. Alone on its port, and with limits on the
// time that a request may take to arrive, on the size of its headers, and on
// the time that its response may take to be read.
#pragma once

#include <chrono>
#include <string>

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>

namespace oriolevane::gateway {

// From the first byte of a request to its last; a caller that sends byte by
// byte is cut off then. A response has the same time. Connections without a
// request are not concerned. Throws Poco exceptions when the address cannot be
// listened on.
Poco::Net::ServerSocket
ListenForCallers(const std::string& aAddress,
                 std::chrono::milliseconds aRequestLimit);

// To be called when the headers of a request have been read: what follows is
// the body, which has another limit than they have.
void
EndHead(Poco::Net::StreamSocket& aSocket);

// True once the caller has exceeded a limit, so that its connection is of no
// more use. A stream on the socket does not pass the exception on.
bool
IsCutOff(Poco::Net::StreamSocket& aSocket);

} // namespace oriolevane::gateway
