#include "worker.h"

#include <algorithm>

namespace review {

namespace {

using nlohmann::json;

constexpr Millis kStopTime{ 100 };
// maxHoldMs of the small sites; a longer lease is shortened to it.
constexpr Millis kLongestLease{ 6000 };
constexpr std::size_t kMaxEnds = 500;
constexpr int kMemoryMiB = 262144;

} // namespace

Worker::Worker(event_base* aBase, WorkerOptions aOptions, WorkerHooks aHooks)
  : mOptions(std::move(aOptions))
  , mHooks(std::move(aHooks))
  , mStartedAt(Now())
  , mServer(aBase,
            mOptions.mIp,
            mOptions.mPort,
            [this](const Request& aRequest, const Reply& aReply) {
              Handle(aRequest, aReply);
            })
{
}

std::string
Worker::Entry()
{
  return json{
    { "service", mOptions.mService },
    { "address", mOptions.mIp + ":" + std::to_string(mOptions.mPort) },
    { "zone", "zone-a" },
    { "version", "v1" },
    { "slots", 8 },
    { "state", "ready" },
    { "coldLeftMs", 0 },
    { "capacity",
      { { "cpu", mOptions.mMilliCores },
        { "memMb", kMemoryMiB },
        { "gpu", 0 } } },
    { "labels", { mOptions.mKind, mOptions.mRack } },
    { "machine", "m-" + mOptions.mId },
    { "serverTimeMs", Clock().count() },
    { "sequence", ++mSequence },
    { "born", mOptions.mBorn.count() }
  }.dump();
}

std::vector<std::string>
Worker::Running() const
{
  std::vector<std::string> tasks;
  for (const auto& [task, run] : mRuns) {
    tasks.push_back(task);
  }
  return tasks;
}

void
Worker::Handle(const Request& aRequest, const Reply& aReply)
{
  if (aRequest.mTargetInstance != mOptions.mId) {
    aReply({ .mStatus = 421, .mBody = Body().dump() });
    return;
  }
  const json call = json::parse(aRequest.mBody, nullptr, false);
  if (!call.is_object()) {
    aReply({ .mStatus = 400, .mBody = Body().dump() });
    return;
  }
  const auto token = call.value("fencingToken", std::uint64_t{ 0 });
  if (token < mToken) {
    Refuse(aReply, "fence");
    return;
  }
  mToken = token;
  if (aRequest.mPath == "/run-start") {
    OnStart(call, aReply);
  } else if (aRequest.mPath == "/run-stop") {
    OnStop(call, aReply);
  } else if (aRequest.mPath == "/hold") {
    OnHold(call, aReply);
  } else {
    aReply({ .mStatus = 404, .mBody = "{}" });
  }
}

json
Worker::Body() const
{
  return { { "serverTimeMs", Clock().count() },
           { "born", mOptions.mBorn.count() } };
}

void
Worker::Refuse(const Reply& aReply, const std::string& aReason) const
{
  json body = Body();
  body["reason"] = aReason;
  aReply({ .mStatus = 409, .mBody = body.dump() });
}

void
Worker::Extend(const json& aCall)
{
  const Millis due(aCall.value("dueMs", std::int64_t{ 0 }));
  mLeaseEnd = std::max(mLeaseEnd, std::min(due, Clock() + kLongestLease));
}

void
Worker::OnStart(const json& aCall, const Reply& aReply)
{
  const std::string task = aCall.at("task").get<std::string>();
  const int number = aCall.at("run").get<int>();
  const auto running = mRuns.find(task);
  if (running != mRuns.end() && running->second.mNumber == number) {
    Extend(aCall);
    aReply({ .mStatus = 200, .mBody = Body().dump() });
    return;
  }
  if (number <= mPast[task] || running != mRuns.end()) {
    Extend(aCall);
    Refuse(aReply, "old");
    return;
  }
  if (Millis(aCall.value("dueMs", std::int64_t{ 0 })) <= Clock()) {
    Refuse(aReply, "late");
    return;
  }
  Extend(aCall);
  mRuns[task] = { .mNumber = number,
                  .mBegan = Now(),
                  .mTakes =
                    Millis(std::stoi(aCall.at("spec").get<std::string>())) };
  mHooks.mOnStart(mOptions, task, number);
  aReply({ .mStatus = 200, .mBody = Body().dump() });
}

void
Worker::OnStop(const json& aCall, const Reply& aReply)
{
  const std::string task = aCall.at("task").get<std::string>();
  const int number = aCall.at("run").get<int>();
  const auto running = mRuns.find(task);
  if (running != mRuns.end() && running->second.mNumber == number) {
    if (running->second.mStopsAt == Millis(0)) {
      running->second.mStopsAt = Now() + kStopTime;
    }
  } else {
    mPast[task] = std::max(mPast[task], number);
  }
  aReply({ .mStatus = 200, .mBody = Body().dump() });
}

void
Worker::OnHold(const json& aCall, const Reply& aReply)
{
  Extend(aCall);
  mEnded.erase(mEnded.begin(),
               mEnded.upper_bound(aCall.value("lastSeen", std::uint64_t{ 0 })));
  const Millis wait(aCall.value("waitMs", std::int64_t{ 0 }));
  if (wait == Millis(0) || !mEnded.empty()) {
    aReply({ .mStatus = 200, .mBody = Report() });
    return;
  }
  mPolls.push_back({ .mDeadline = Now() + wait, .mReply = aReply });
}

std::string
Worker::Report() const
{
  json running = json::array();
  for (const auto& [task, run] : mRuns) {
    const auto percent = std::min<std::int64_t>(
      99, 100 * (Now() - run.mBegan) / std::max(run.mTakes, Millis(1)));
    running.push_back({ task, run.mNumber, "", percent, 0 });
  }
  json ended = json::array();
  for (const auto& [serial, end] : mEnded) {
    if (ended.size() < kMaxEnds) {
      ended.push_back(end);
    }
  }
  json body = Body();
  body["running"] = running;
  body["ended"] = ended;
  return body.dump();
}

void
Worker::End(const std::string& aTask, const std::string& aHow)
{
  const int number = mRuns.at(aTask).mNumber;
  mRuns.erase(aTask);
  mPast[aTask] = std::max(mPast[aTask], number);
  ++mLastEnd;
  mEnded[mLastEnd] = json::array({ mLastEnd, aTask, number, aHow, "" });
  mHooks.mOnEnd(mOptions, aTask, number, aHow);
}

void
Worker::Advance()
{
  const Millis now = Now();
  const bool lapsed = Clock() >= mLeaseEnd;
  const std::map<std::string, Run> runs = mRuns;
  for (const auto& [task, run] : runs) {
    if (run.mBegan + run.mTakes <= now) {
      End(task, "done");
    } else if (run.mStopsAt != Millis(0) && run.mStopsAt <= now) {
      End(task, "stopped");
    } else if (lapsed) {
      End(task, "lapsed");
    }
  }
  std::vector<Poll> polls;
  std::swap(polls, mPolls);
  for (Poll& poll : polls) {
    if (!mEnded.empty() || poll.mDeadline <= now) {
      poll.mReply({ .mStatus = 200, .mBody = Report() });
    } else {
      mPolls.push_back(std::move(poll));
    }
  }
}

} // namespace review
