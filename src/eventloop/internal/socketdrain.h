// Lets a stream take up all that its socket has received, or send all that it
// holds, in one pass of the event loop.
#pragma once

struct bufferevent;

namespace oriolevane::eventloop {

// libevent reads 4 KiB and writes 16 KiB of a stream in each pass. When the
// passes of a busy loop are long, a large message then takes many times as long
// as the network needs for it.
void
LiftTransferLimits(bufferevent* aStream);

} // namespace oriolevane::eventloop
