#include "eventloop/eventloop.h"

#include <algorithm>
#include <csignal>
#include <utility>

#include <event2/event.h>

namespace oriolevane::eventloop {

namespace {

timeval
ToTimeval(Duration aDelay)
{
  const auto micros = std::max<std::int64_t>(
    0, std::chrono::duration_cast<std::chrono::microseconds>(aDelay).count());
  timeval value{};
  value.tv_sec = micros / 1000000;
  value.tv_usec = micros % 1000000;
  return value;
}

void
CallFunction(evutil_socket_t, short, void* aContext)
{
  (*static_cast<std::function<void()>*>(aContext))();
}

void
CallAndDelete(evutil_socket_t, short, void* aContext)
{
  const std::unique_ptr<std::function<void()>> callback(
    static_cast<std::function<void()>*>(aContext));
  (*callback)();
}

} // namespace

Timer::Timer(event_base* aBase, std::function<void()> aCallback)
  : mCallback(std::move(aCallback))
  , mEvent(evtimer_new(aBase, &CallFunction, &mCallback))
{
}

Timer::~Timer()
{
  event_free(mEvent);
}

void
Timer::StartAfter(Duration aDelay)
{
  mDueAt = std::chrono::steady_clock::now() + aDelay;
  const timeval delay = ToTimeval(aDelay);
  evtimer_add(mEvent, &delay);
}

void
Timer::StartWithin(Duration aDelay)
{
  if (IsPending() && mDueAt <= std::chrono::steady_clock::now() + aDelay) {
    return;
  }
  StartAfter(aDelay);
}

void
Timer::Cancel()
{
  evtimer_del(mEvent);
}

bool
Timer::IsPending() const
{
  return evtimer_pending(mEvent, nullptr) != 0;
}

struct EventLoop::SignalHandler
{
  std::function<void()> mCallback;
  event* mEvent = nullptr;

  ~SignalHandler() { event_free(mEvent); }
};

EventLoop::EventLoop()
{
  // A write to a connection that the peer has closed must not end the process.
  std::signal(SIGPIPE, SIG_IGN);
  event_config* config = event_config_new();
  event_config_set_flag(config, EVENT_BASE_FLAG_EPOLL_USE_CHANGELIST);
  event_config_set_flag(config, EVENT_BASE_FLAG_NOLOCK);
  mBase = event_base_new_with_config(config);
  event_config_free(config);
}

EventLoop::~EventLoop()
{
  mSignals.clear();
  event_base_free(mBase);
}

void
EventLoop::Run()
{
  event_base_loop(mBase, EVLOOP_NO_EXIT_ON_EMPTY);
}

void
EventLoop::Stop()
{
  event_base_loopbreak(mBase);
}

std::unique_ptr<Timer>
EventLoop::MakeTimer(std::function<void()> aCallback)
{
  return std::make_unique<Timer>(mBase, std::move(aCallback));
}

void
EventLoop::OnSignal(int aSignal, std::function<void()> aCallback)
{
  auto handler = std::make_unique<SignalHandler>();
  handler->mCallback = std::move(aCallback);
  handler->mEvent =
    evsignal_new(mBase, aSignal, &CallFunction, &handler->mCallback);
  evsignal_add(handler->mEvent, nullptr);
  mSignals.push_back(std::move(handler));
}

void
EventLoop::Post(std::function<void()> aCallback)
{
  const timeval now{};
  event_base_once(mBase,
                  -1,
                  EV_TIMEOUT,
                  &CallAndDelete,
                  new std::function<void()>(std::move(aCallback)),
                  &now);
}

} // namespace oriolevane::eventloop
