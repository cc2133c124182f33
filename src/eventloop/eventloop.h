// One thread that waits for sockets, timers and signals (libevent). All
// callbacks of a process run on it, so that what they share needs no locks.
#pragma once

#include <functional>
#include <memory>
#include <vector>

#include "framework/types/timepoint.h"

struct event;
struct event_base;

namespace oriolevane::eventloop {

// Calls its function once at the time that was last set. Destroying it cancels.
class Timer
{
public:
  Timer(event_base* aBase, std::function<void()> aCallback);
  Timer(const Timer&) = delete;
  Timer& operator=(const Timer&) = delete;
  ~Timer();

  // Replaces an earlier time. A delay below zero counts as zero.
  void StartAfter(Duration aDelay);
  // Keeps an earlier time if that comes first.
  void StartWithin(Duration aDelay);
  void Cancel();
  bool IsPending() const;

private:
  std::function<void()> mCallback;
  TimePoint mDueAt;
  event* mEvent;
};

class EventLoop
{
public:
  EventLoop();
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;
  ~EventLoop();

  // Returns after Stop().
  void Run();
  void Stop();
  std::unique_ptr<Timer> MakeTimer(std::function<void()> aCallback);
  // Calls aCallback on each delivery of a signal, as a usual event.
  void OnSignal(int aSignal, std::function<void()> aCallback);
  // Calls aCallback once, after the callbacks that are due now.
  void Post(std::function<void()> aCallback);
  event_base* Base() const { return mBase; }

private:
  struct SignalHandler;

  event_base* mBase;
  std::vector<std::unique_ptr<SignalHandler>> mSignals;
};

} // namespace oriolevane::eventloop
