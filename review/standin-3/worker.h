// One life of a worker, as PROTOCOL.md describes it. The text that a job's
// tasks get as "spec" says how long they take, in milliseconds.
// Single-threaded.
#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "http.h"

namespace review {

struct WorkerOptions
{
  std::string mId;
  std::string mService;
  std::string mIp;
  std::uint16_t mPort = 0;
  // The first label.
  std::string mKind;
  std::string mRack;
  int mMilliCores = 0;
  // The Unix time of its start that it reports.
  Millis mBorn{ 0 };
};

// What a worker tells about its runs.
struct WorkerHooks
{
  // A run has begun on an order.
  std::function<void(const WorkerOptions&, const std::string& aTask, int aRun)>
    mOnStart;
  std::function<void(const WorkerOptions&,
                     const std::string& aTask,
                     int aRun,
                     const std::string& aHow)>
    mOnEnd;
};

class Worker
{
public:
  // Answers calls from now on.
  Worker(event_base* aBase, WorkerOptions aOptions, WorkerHooks aHooks);

  const WorkerOptions& Options() const { return mOptions; }
  // The text of its row in the registry.
  std::string Entry();
  // Ends what is due and answers the polls that have waited long enough.
  void Advance();
  // The tasks that run.
  std::vector<std::string> Running() const;

private:
  struct Run
  {
    int mNumber = 0;
    Millis mBegan{ 0 };
    Millis mTakes{ 0 };
    // When it has been stopped; 0 when no stop was ordered.
    Millis mStopsAt{ 0 };
  };
  struct Poll
  {
    Millis mDeadline{ 0 };
    Reply mReply;
  };

  // The worker's own steady clock.
  Millis Clock() const { return Now() - mStartedAt; }
  void Handle(const Request& aRequest, const Reply& aReply);
  void OnStart(const nlohmann::json& aCall, const Reply& aReply);
  void OnStop(const nlohmann::json& aCall, const Reply& aReply);
  void OnHold(const nlohmann::json& aCall, const Reply& aReply);
  void Extend(const nlohmann::json& aCall);
  void End(const std::string& aTask, const std::string& aHow);
  void Refuse(const Reply& aReply, const std::string& aReason) const;
  nlohmann::json Body() const;
  std::string Report() const;

  WorkerOptions mOptions;
  WorkerHooks mHooks;
  Millis mStartedAt;
  std::uint64_t mToken = 0;
  Millis mLeaseEnd{ 0 };
  std::map<std::string, Run> mRuns;
  // The highest run of a task that was stopped or has ended.
  std::map<std::string, int> mPast;
  std::map<std::uint64_t, nlohmann::json> mEnded;
  std::uint64_t mLastEnd = 0;
  std::uint64_t mSequence = 0;
  std::vector<Poll> mPolls;
  Server mServer;
};

} // namespace review
