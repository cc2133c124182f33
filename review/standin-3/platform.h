// The users' platform around the nodes of a case: the store, the operator and
// the workers, on a thread of their own, and a record of what has happened.
#pragma once

#include <cstddef>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include <nlohmann/json.hpp>

#include "http.h"
#include "store.h"
#include "worker.h"

struct event;

namespace review {

// Writes what happens to a file, with the time. Thread-safe.
class Record
{
public:
  explicit Record(const std::string& aFile);

  // Writes a line of the parts.
  template<typename... Parts>
  void Write(const Parts&... aParts)
  {
    const std::lock_guard lock(mMutex);
    mFile << Now().count() << " ms ";
    (mFile << ... << aParts) << std::endl;
  }

private:
  std::mutex mMutex;
  std::ofstream mFile;
};

// A start or an end of a task that a worker has seen.
struct TaskEvent
{
  Millis mAt{ 0 };
  std::string mTask;
  int mRun = 0;
  std::string mWorker;
  // The worker's kind and service at that time.
  std::string mKind;
  std::string mService;
  // How the run ended; empty for a start.
  std::string mEnd;
};

struct PlatformOptions
{
  // The first three numbers of all addresses, such as "127.31.5".
  std::string mNet;
  std::uint16_t mStorePort = 7900;
};

// The address of a worker is mNet and 100 more than its place in the list.
class Platform
{
public:
  Platform(PlatformOptions aOptions, Record& aRecord);
  Platform(const Platform&) = delete;
  Platform& operator=(const Platform&) = delete;
  ~Platform();

  // Writes the desired state. Its confirmation is the return.
  void PutConfiguration(const nlohmann::json& aConfiguration);
  // Starts a worker, or a further life of it. It writes its entry at once, and
  // then each heartbeat.
  void StartWorker(const WorkerOptions& aOptions);
  // Writes an entry into the registry as another writer.
  void PutEntry(const std::string& aId, const std::string& aText);
  // Ends a worker's process without a word.
  void CrashWorker(const std::string& aId);
  // All that the workers have seen so far.
  std::vector<TaskEvent> Events();
  // The tasks that run on the workers now.
  std::vector<std::string> Running();

private:
  // Runs a function on the platform's thread and waits for its end.
  void Do(const std::function<void()>& aFunction);
  void After(Millis aDelay, std::function<void()> aFunction);
  void Tick();
  void WriteEntry(Worker& aWorker);
  void Note(const WorkerOptions& aWorker,
            const std::string& aTask,
            int aRun,
            const std::string& aEnd);

  PlatformOptions mOptions;
  Record& mRecord;
  event_base* mBase;
  event* mTimer = nullptr;
  std::unique_ptr<Store> mStore;
  std::unique_ptr<Server> mStoreServer;
  std::map<std::string, std::unique_ptr<Worker>> mWorkers;
  std::map<std::string, Millis> mNextBeat;
  std::multimap<Millis, std::function<void()>> mDue;
  std::vector<TaskEvent> mEvents;
  bool mStopping = false;
  std::mutex mMutex;
  // Functions for the platform's thread. Guarded by mMutex.
  std::vector<std::function<void()>> mPosted;
  std::thread mThread;
};

} // namespace review
