// A single-threaded event loop for sockets, timers and signals, on libevent.
// All of its callbacks run on the loop's thread, so the state that they share
// needs no locks.
#pragma once

#include <functional>
#include <memory>
#include <vector>

#include "framework/types/timepoint.h"

struct event;
struct event_base;

namespace oriolevane::eventloop {

// A one-shot timer that can be started again. Destroying it cancels the pending
// call.
class Timer
{
public:
  Timer(event_base* aBase, std::function<void()> aCallback);
  Timer(const Timer&) = delete;
  Timer& operator=(const Timer&) = delete;
  ~Timer();

  // Schedules the callback after the delay and replaces an earlier schedule. A
  // negative delay counts as zero.
  void StartAfter(Duration aDelay);
  // Schedules the callback after the delay unless it is due sooner already.
  void StartWithin(Duration aDelay);
  void Cancel();
  bool IsPending() const;

private:
  std::function<void()> mCallback;
  TimePoint mDueAt;
  event* mEvent;
};

// The event loop of one thread. It is not thread-safe.
class EventLoop
{
public:
  EventLoop();
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;
  ~EventLoop();

  // Runs callbacks until Stop() is called.
  void Run();
  void Stop();
  std::unique_ptr<Timer> MakeTimer(std::function<void()> aCallback);
  // Calls aCallback on each delivery of the signal, from the loop and not from
  // the signal handler.
  void OnSignal(int aSignal, std::function<void()> aCallback);
  // Calls aCallback once from the loop, after the callbacks that are due now.
  // Must be called on the loop's thread.
  void Post(std::function<void()> aCallback);
  // The underlying libevent base, which the loop owns.
  event_base* Base() const { return mBase; }

private:
  struct SignalHandler;

  event_base* mBase;
  std::vector<std::unique_ptr<SignalHandler>> mSignals;
};

} // namespace oriolevane::eventloop
