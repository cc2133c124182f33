#include "scenario.h"

#include <thread>

#include <fcntl.h>

namespace review {

namespace {

using nlohmann::json;

constexpr std::uint16_t kCallerPort = 7800;
constexpr std::uint16_t kReadinessPort = 7801;
constexpr std::uint16_t kWorkerPort = 7950;
// The clients' time limit in the site files.
constexpr Millis kTimeLimit{ 3000 };
constexpr int kRetries = 4;
constexpr int kMilliCores = 8000;
constexpr int kFirstWorkerAddress = 100;
constexpr int kOk = 200;
constexpr int kTooManyRequests = 429;
constexpr int kBadGateway = 502;
constexpr int kUnavailable = 503;
constexpr int kGatewayTimeout = 504;

std::string
Address(const std::string& aNet, int aNode)
{
  return aNet + "." + std::to_string(aNode + 10);
}

} // namespace

std::string
JobId(std::uint64_t aNumber)
{
  std::string digits(16, '0');
  for (std::size_t at = digits.size(); at > 0 && aNumber > 0; --at) {
    digits[at - 1] = "0123456789abcdef"[aNumber % 16];
    aNumber /= 16;
  }
  return digits;
}

void
Sleep(Millis aTime)
{
  std::this_thread::sleep_for(aTime);
}

Scenario::Scenario(const ScenarioOptions& aOptions)
  : mOptions(aOptions)
  , mRecord(aOptions.mRecordFile)
  , mPlatform({ .mNet = aOptions.mNet }, mRecord)
{
}

WorkerOptions
Scenario::WorkerOf(const std::string& aService,
                   int aIndex,
                   const std::string& aKind) const
{
  return { .mId = "i-" + std::to_string(aIndex),
           .mService = aService,
           .mIp =
             mOptions.mNet + "." + std::to_string(kFirstWorkerAddress + aIndex),
           .mPort = kWorkerPort,
           .mKind = aKind,
           .mRack = "r1-1",
           .mMilliCores = kMilliCores,
           .mBorn = UnixNow() };
}

void
Scenario::StartWorkers(const std::string& aService,
                       const std::vector<std::string>& aKinds)
{
  for (std::size_t index = 0; index < aKinds.size(); ++index) {
    mPlatform.StartWorker(
      WorkerOf(aService, static_cast<int>(index), aKinds[index]));
  }
}

bool
Scenario::AwaitReady(Millis aTimeout)
{
  const Millis deadline = Now() + aTimeout;
  for (int node = 1; node <= mOptions.mNodes; ++node) {
    while (Call(Address(mOptions.mNet, node),
                kReadinessPort,
                "GET",
                "ready",
                "/ready",
                "",
                Millis(1000))
             .mStatus != kOk) {
      if (Now() > deadline) {
        mRecord.Write("node " + std::to_string(node) + " is not ready");
        return false;
      }
      Sleep(Millis(100));
    }
  }
  mRecord.Write("all nodes are ready");
  return true;
}

Response
Scenario::Send(int aNode,
               const std::string& aMethod,
               const std::string& aPath,
               const std::string& aBody)
{
  const Millis sentAt = Now();
  Response response = Call(Address(mOptions.mNet, aNode),
                           kCallerPort,
                           aMethod,
                           "jobs.example",
                           aPath,
                           aBody,
                           kTimeLimit);
  mRecord.Write("client: " + aMethod + " " + aPath + " to node " +
                std::to_string(aNode) + ", sent at " +
                std::to_string(sentAt.count()) + " ms: " +
                (response.mStatus == 0
                   ? "no answer"
                   : std::to_string(response.mStatus) + " " + response.mBody));
  return response;
}

Response
Scenario::Submit(int aNode, const std::string& aPath, const std::string& aBody)
{
  Response response;
  int node = aNode;
  for (int attempt = 0; attempt <= kRetries; ++attempt) {
    response = Send(node, "POST", aPath, aBody);
    const int status = response.mStatus;
    if (status == kTooManyRequests || status == kUnavailable) {
      Sleep(Millis(1000));
    } else if (status != 0 && status != kBadGateway &&
               status != kGatewayTimeout) {
      break;
    }
    node = node % mOptions.mNodes + 1;
  }
  return response;
}

std::string
Scenario::StateOf(const std::string& aPath)
{
  Response response;
  for (int node = 1; node <= mOptions.mNodes; ++node) {
    response = Send(node, "GET", aPath);
    if (response.mStatus == kOk) {
      return json::parse(response.mBody).value("state", "");
    }
  }
  return response.mStatus == 0 ? "no answer" : std::to_string(response.mStatus);
}

bool
Scenario::AwaitState(const std::string& aPath,
                     const std::string& aState,
                     Millis aTimeout)
{
  const Millis deadline = Now() + aTimeout;
  while (StateOf(aPath) != aState) {
    if (Now() > deadline) {
      return false;
    }
    Sleep(Millis(200));
  }
  return true;
}

} // namespace review
