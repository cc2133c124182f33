// Callers that submit through any node, retry under the same key when they got
// no answer, and write down what they were told.
#pragma once

#include <atomic>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "integration/cell.h"

namespace oriolevane::integration {

// All that one caller was told of one request.
struct Told
{
  std::string mId;
  std::string mExpectedAnswer;
  bool mNeverRepeat = false;
  // In order, with repeats.
  std::vector<std::string> mOutcomes;
  std::vector<std::string> mAnswers;
  // Connections that broke while a response was due.
  int mBroken = 0;
};

struct CallersOptions
{
  int mCallers = 8;
  int mRequestsPerCaller = 20;
  std::uint64_t mSeed = 1;
  // Run time of a task is drawn up to this.
  int mMostRunMillis = 300;
  // Nodes that callers turn to.
  std::vector<int> mNodes;
};

class Callers
{
public:
  Callers(const Cell& aCell, CallersOptions aOptions);
  Callers(const Callers&) = delete;
  Callers& operator=(const Callers&) = delete;
  ~Callers();

  // Waits until every caller has submitted all of its requests.
  void Join();
  // Then asks until each outcome is final.
  void AwaitOutcomes(int aNode);
  std::vector<Told> Record() const;
  int Finished() const { return mFinished.load(); }
  int Broken() const;

private:
  void Run(int aCaller);
  void SubmitOne(int aCaller, int aNumber, std::uint64_t aDraw);
  void Note(Told& aTold, const HttpResult& aResult);

  const Cell& mCell;
  CallersOptions mOptions;
  mutable std::mutex mMutex;
  std::map<std::string, Told> mTold;
  std::atomic<int> mFinished{ 0 };
  std::vector<std::thread> mThreads;
};

} // namespace oriolevane::integration
