// A gateway that answers from a list and keeps what it was sent.
#pragma once

#include <deque>
#include <map>
#include <sstream>
#include <string>
#include <utility>
#include <vector>

#include "cli/commandrunner.h"

namespace oriolevane::cli {

struct FakeCell
{
  struct Sent
  {
    std::string mAddress;
    ApiCall mCall;
  };

  std::deque<ApiAnswer> mAnswers;
  std::vector<Sent> mSent;
  std::map<std::string, std::string> mFiles;
  std::ostringstream mOut;
  std::ostringstream mErr;

  FakeCell& Answers(int aStatus, std::string aBody)
  {
    mAnswers.push_back({ .mDelivery = Delivery::Answered,
                         .mStatus = aStatus,
                         .mBody = std::move(aBody) });
    return *this;
  }

  FakeCell& Fails(Delivery aDelivery)
  {
    mAnswers.push_back({ .mDelivery = aDelivery, .mError = "fault" });
    return *this;
  }

  // The exit code as a number, so that assertions print it.
  int Run(CommandLine aLine)
  {
    if (aLine.mAddresses.empty()) {
      aLine.mAddresses = { "a:1", "b:2" };
    }
    const CliHooks hooks{
      .mSend =
        [this](const std::string& aAddress, const ApiCall& aCall) {
          mSent.push_back({ aAddress, aCall });
          if (mAnswers.empty()) {
            return ApiAnswer{};
          }
          ApiAnswer answer = mAnswers.front();
          mAnswers.pop_front();
          return answer;
        },
      .mReadFile =
        [this](const std::string& aPath) -> absl::StatusOr<std::string> {
        const auto found = mFiles.find(aPath);
        if (found == mFiles.end()) {
          return absl::NotFoundError("cannot read " + aPath);
        }
        return found->second;
      },
      .mFreshId = [] { return std::string("fresh"); },
      .mOut = mOut,
      .mErr = mErr
    };
    return static_cast<int>(RunCommand(aLine, hooks));
  }

  int Run(std::vector<std::string> aWords)
  {
    return Run(CommandLine{ .mWords = std::move(aWords) });
  }
};

inline bool
Holds(const std::string& aText, const std::string& aPart)
{
  return aText.find(aPart) != std::string::npos;
}

} // namespace oriolevane::cli
