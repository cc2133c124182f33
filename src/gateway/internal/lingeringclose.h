// Closes connections of callers that are still sending.
#pragma once

#include <Poco/Net/SocketImpl.h>

namespace oriolevane::gateway {

// Ends the sending side and reads on until the caller closes, for a limited
// time. Closing a socket with unread input would reset the connection, and an
// answer that is on its way could be lost. Throws Poco exceptions when the
// connection is gone.
void
DrainBeforeClose(Poco::Net::SocketImpl& aSocket);

} // namespace oriolevane::gateway
