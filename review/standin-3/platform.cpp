#include "platform.h"

#include <future>

#include <event2/event.h>

namespace review {

namespace {

constexpr Millis kHeartbeat{ 1500 };
// What the store takes for a write.
constexpr Millis kWriteTime{ 10 };
constexpr int kTickMicros = 2000;

} // namespace

Record::Record(const std::string& aFile)
  : mFile(aFile, std::ios::app)
{
}

Platform::Platform(PlatformOptions aOptions, Record& aRecord)
  : mOptions(std::move(aOptions))
  , mRecord(aRecord)
  , mBase(event_base_new())
{
  mStore = std::make_unique<Store>(
    [this](Millis aDelay, std::function<void()> aFunction) {
      After(aDelay, std::move(aFunction));
    });
  mStoreServer = std::make_unique<Server>(
    mBase,
    mOptions.mNet + ".1",
    mOptions.mStorePort,
    [this](const Request& aRequest, const Reply& aReply) {
      mStore->Handle(aRequest, aReply);
    });
  mTimer = event_new(
    mBase,
    -1,
    EV_PERSIST,
    [](evutil_socket_t, short, void* aContext) {
      static_cast<Platform*>(aContext)->Tick();
    },
    this);
  const timeval interval{ 0, kTickMicros };
  event_add(mTimer, &interval);
  mThread = std::thread([this] { event_base_dispatch(mBase); });
}

Platform::~Platform()
{
  Do([this] {
    mStopping = true;
    event_base_loopbreak(mBase);
  });
  mThread.join();
  mWorkers.clear();
  mStoreServer.reset();
  event_free(mTimer);
  event_base_free(mBase);
}

void
Platform::Do(const std::function<void()>& aFunction)
{
  std::promise<void> done;
  {
    const std::lock_guard lock(mMutex);
    mPosted.emplace_back([&] {
      aFunction();
      done.set_value();
    });
  }
  done.get_future().wait();
}

void
Platform::After(Millis aDelay, std::function<void()> aFunction)
{
  mDue.emplace(Now() + aDelay, std::move(aFunction));
}

void
Platform::Tick()
{
  std::vector<std::function<void()>> posted;
  {
    const std::lock_guard lock(mMutex);
    std::swap(posted, mPosted);
  }
  for (const auto& function : posted) {
    function();
  }
  while (!mDue.empty() && mDue.begin()->first <= Now()) {
    const std::function<void()> function = std::move(mDue.begin()->second);
    mDue.erase(mDue.begin());
    function();
  }
  for (const auto& [id, worker] : mWorkers) {
    worker->Advance();
    if (mNextBeat[id] <= Now()) {
      WriteEntry(*worker);
    }
  }
  mStore->Advance();
}

void
Platform::WriteEntry(Worker& aWorker)
{
  const std::string& id = aWorker.Options().mId;
  mNextBeat[id] = Now() + kHeartbeat;
  After(kWriteTime, [this, id, entry = aWorker.Entry()] {
    if (mWorkers.contains(id)) {
      mStore->Put("servers", id, entry);
    }
  });
}

void
Platform::PutConfiguration(const nlohmann::json& aConfiguration)
{
  Do([&] { mStore->Put("op", "config", aConfiguration.dump()); });
  mRecord.Write("the operator's write is confirmed: " + aConfiguration.dump());
}

void
Platform::StartWorker(const WorkerOptions& aOptions)
{
  const WorkerHooks hooks{
    .mOnStart = [this](const WorkerOptions& aWorker,
                       const std::string& aTask,
                       int aRun) { Note(aWorker, aTask, aRun, ""); },
    .mOnEnd =
      [this](const WorkerOptions& aWorker,
             const std::string& aTask,
             int aRun,
             const std::string& aHow) { Note(aWorker, aTask, aRun, aHow); }
  };
  Do([&] {
    auto& worker = mWorkers[aOptions.mId];
    worker = std::make_unique<Worker>(mBase, aOptions, hooks);
    WriteEntry(*worker);
  });
  mRecord.Write("worker " + aOptions.mId + " starts, kind " + aOptions.mKind +
                ", service " + aOptions.mService + ", born " +
                std::to_string(aOptions.mBorn.count()));
}

void
Platform::PutEntry(const std::string& aId, const std::string& aText)
{
  Do([&] { mStore->Put("servers", aId, aText); });
  mRecord.Write("another writer writes servers/", aId, ": ", aText);
}

void
Platform::CrashWorker(const std::string& aId)
{
  Do([&] { mWorkers.erase(aId); });
  mRecord.Write("worker " + aId + " crashes");
}

void
Platform::Note(const WorkerOptions& aWorker,
               const std::string& aTask,
               int aRun,
               const std::string& aEnd)
{
  mEvents.push_back({ .mAt = Now(),
                      .mTask = aTask,
                      .mRun = aRun,
                      .mWorker = aWorker.mId,
                      .mKind = aWorker.mKind,
                      .mService = aWorker.mService,
                      .mEnd = aEnd });
  mRecord.Write("worker " + aWorker.mId + " (" + aWorker.mKind + ", " +
                aWorker.mService + ") " + (aEnd.empty() ? "starts" : "ends") +
                " task " + aTask + " run " + std::to_string(aRun) +
                (aEnd.empty() ? "" : ": " + aEnd));
}

std::vector<TaskEvent>
Platform::Events()
{
  std::vector<TaskEvent> events;
  Do([&] { events = mEvents; });
  return events;
}

std::vector<std::string>
Platform::Running()
{
  std::vector<std::string> running;
  Do([&] {
    for (const auto& [id, worker] : mWorkers) {
      for (const std::string& task : worker->Running()) {
        running.push_back(task);
      }
    }
  });
  return running;
}

} // namespace review
