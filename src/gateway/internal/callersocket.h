// The gateway's listening socket. Alone on its port, and with a limit on the
// time that a request may take to arrive.
#pragma once

#include <chrono>
#include <string>

#include <Poco/Net/ServerSocket.h>

namespace oriolevane::gateway {

// From the first byte of a request to its last; a caller that sends byte by
// byte is cut off then. Connections without a request are not concerned.
// Throws Poco exceptions when the address cannot be listened on.
Poco::Net::ServerSocket
ListenForCallers(const std::string& aAddress,
                 std::chrono::milliseconds aRequestLimit);

} // namespace oriolevane::gateway
