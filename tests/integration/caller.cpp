#include "integration/caller.h"

#include <random>

#include <cppunit/TestAssert.h>
#include <fmt/format.h>

namespace oriolevane::integration {

using nlohmann::json;

namespace {

constexpr int kMostTries = 40;
constexpr std::chrono::milliseconds kRetryPause{ 150 };

bool
IsFinal(const std::string& aOutcome)
{
  return aOutcome == "ran" || aOutcome == "not_run";
}

} // namespace

Callers::Callers(const Cell& aCell, CallersOptions aOptions)
  : mCell(aCell)
  , mOptions(std::move(aOptions))
{
  for (int caller = 0; caller < mOptions.mCallers; ++caller) {
    mThreads.emplace_back([this, caller] { Run(caller); });
  }
}

Callers::~Callers()
{
  Join();
}

void
Callers::Join()
{
  for (std::thread& thread : mThreads) {
    if (thread.joinable()) {
      thread.join();
    }
  }
}

void
Callers::Run(int aCaller)
{
  std::mt19937_64 random(mOptions.mSeed * 1'000 +
                         static_cast<std::uint64_t>(aCaller));
  for (int number = 0; number < mOptions.mRequestsPerCaller; ++number) {
    SubmitOne(aCaller, number, random());
    ++mFinished;
  }
}

void
Callers::Note(Told& aTold, const HttpResult& aResult)
{
  const std::lock_guard lock(mMutex);
  if (aResult.mStatus == 0) {
    ++aTold.mBroken;
    return;
  }
  const json body = aResult.Json();
  if (!body.is_object()) {
    return;
  }
  aTold.mId = body.value("id", aTold.mId);
  const std::string outcome = body.value("outcome", "");
  if (!outcome.empty()) {
    aTold.mOutcomes.push_back(outcome);
  }
  if (outcome == "ran") {
    for (const json& task : body["tasks"]) {
      aTold.mAnswers.push_back(task.value("state", "") + ":" +
                               task.value("answer", ""));
    }
  }
}

void
Callers::SubmitOne(int aCaller, int aNumber, std::uint64_t aDraw)
{
  const std::string key = fmt::format("c{}-{}", aCaller, aNumber);
  const bool neverRepeat = aDraw % 3 == 0;
  const std::string answer =
    fmt::format("answer of {} {}", key, std::string(aDraw % 2'000, 'x'));
  Told* told = nullptr;
  {
    const std::lock_guard lock(mMutex);
    told = &mTold[key];
    told->mExpectedAnswer = "succeeded:" + answer;
    told->mNeverRepeat = neverRepeat;
  }
  const json body{
    { "team", "kitchens" },
    { "workload", "booking" },
    { "never_repeat", neverRepeat },
    { "wait", true },
    { "run_time_ms", 100 },
    { "payload",
      { { "runMs",
          aDraw / 7 % static_cast<std::uint64_t>(mOptions.mMostRunMillis) },
        { "answer", answer } } }
  };
  for (int attempt = 0; attempt < kMostTries; ++attempt) {
    const std::size_t turn = aDraw / 11 + static_cast<std::uint64_t>(attempt);
    const HttpResult result =
      mCell.Submit(mOptions.mNodes[turn % mOptions.mNodes.size()], key, body);
    Note(*told, result);
    const json reply = result.Json();
    const std::string outcome =
      reply.is_object() ? reply.value("outcome", "") : "";
    if (IsFinal(outcome) || (result.mStatus == 202 &&
                             reply.value("reason", "") == "may_have_run")) {
      return;
    }
    std::this_thread::sleep_for(kRetryPause);
  }
}

void
Callers::AwaitOutcomes(int aNode)
{
  for (auto& entry : mTold) {
    Told& told = entry.second;
    if (told.mId.empty() ||
        (!told.mOutcomes.empty() && IsFinal(told.mOutcomes.back()))) {
      continue;
    }
    Await("the outcome of " + entry.first + " is final", [&, this] {
      const HttpResult result = Ask({ .mAddress = mCell.NodeAddress(aNode),
                                      .mPath = "/v1/requests/" + told.mId });
      const json body = result.Json();
      if (!body.is_object()) {
        return false;
      }
      const std::string outcome = body.value("outcome", "");
      const bool decided = IsFinal(outcome) || outcome == "not_found" ||
                           body.value("reason", "") == "may_have_run";
      if (decided) {
        Note(told, result);
      }
      return decided;
    });
  }
}

std::vector<Told>
Callers::Record() const
{
  const std::lock_guard lock(mMutex);
  std::vector<Told> record;
  for (const auto& [key, told] : mTold) {
    record.push_back(told);
  }
  return record;
}

int
Callers::Broken() const
{
  int broken = 0;
  for (const Told& told : Record()) {
    broken += told.mBroken;
  }
  return broken;
}

} // namespace oriolevane::integration
