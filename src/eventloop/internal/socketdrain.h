// Lets a stream take up all that its socket has received, or send all that it
// holds, in one pass of the event loop.
#pragma once

#include <cstddef>
#include <functional>

struct bufferevent;
struct evbuffer;
struct evbuffer_cb_info;

namespace oriolevane::eventloop {

// libevent reads 4 KiB and writes 16 KiB of a stream in each pass. When the
// passes of a busy loop are long, a large message then takes many times as long
// as the network needs for it. No more is read than the stream's high watermark
// allows.
void
LiftTransferLimits(bufferevent* aStream);

// The bytes that several streams have received since the start of their current
// messages.
struct ReceiveBudget
{
  std::size_t mMaxBytes = 0;
  std::size_t mBytes = 0;
  // Called for each read beyond mMaxBytes. It must not close a stream.
  std::function<void()> mOnExceeded = {};
};

// Counts what a stream receives. A stream reads with lifted limits while the
// budget lasts, and 4 KiB in a pass beyond it.
class BudgetedInput
{
public:
  // Must outlive the stream.
  BudgetedInput(bufferevent* aStream, ReceiveBudget& aBudget);
  BudgetedInput(const BudgetedInput&) = delete;
  BudgetedInput& operator=(const BudgetedInput&) = delete;
  ~BudgetedInput() { Reset(); }

  std::size_t Bytes() const { return mBytes; }
  // Gives the bytes of the message back to the budget.
  void Reset();

private:
  static void OnChanged(evbuffer* aInput,
                        const evbuffer_cb_info* aInfo,
                        void* aContext);

  bufferevent* mStream;
  ReceiveBudget& mBudget;
  std::size_t mBytes = 0;
};

} // namespace oriolevane::eventloop
