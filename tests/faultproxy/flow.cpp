#include "faultproxy/flow.h"

#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <limits>

#include <Poco/Exception.h>

namespace oriolevane::faultproxy {

namespace {

constexpr std::size_t kPieceBytes = 16UL * 1024;
constexpr std::size_t kMostWaitingBytes = 512UL * 1024;
// Bytes saved up while nothing is sent, as a time at the rate.
constexpr double kBurstSeconds = 0.05;

bool
WouldBlock(const Poco::Exception& aFault)
{
  return aFault.code() == EAGAIN || aFault.code() == EWOULDBLOCK;
}

} // namespace

Flow::Flow(const Poco::Net::StreamSocket& aFrom,
           const Poco::Net::StreamSocket& aTo)
  : mFrom(aFrom)
  , mTo(aTo)
{
}

bool
Flow::WantsRead() const
{
  return !mEnded && mWaitingBytes < kMostWaitingBytes;
}

bool
Flow::Read(TimePoint aNow, const LinkFaults& aFaults, std::mt19937_64& aRandom)
{
  std::array<char, kPieceBytes> bytes{};
  int received = -1;
  try {
    received = mFrom.receiveBytes(bytes.data(), kPieceBytes);
  } catch (const Poco::Exception& fault) {
    return WouldBlock(fault);
  }
  if (received < 0) {
    return true;
  }
  if (received == 0) {
    mEnded = true;
    return true;
  }
  const auto spread = static_cast<std::uint64_t>(aFaults.mJitter.count()) + 1;
  TimePoint due =
    aNow + aFaults.mDelay + std::chrono::milliseconds(aRandom() % spread);
  if (!mPieces.empty()) {
    due = std::max(due, mPieces.back().mDue);
  }
  const auto length = static_cast<std::size_t>(received);
  mPieces.push_back({ .mDue = due, .mBytes = { bytes.data(), length } });
  mWaitingBytes += length;
  return true;
}

std::size_t
Flow::Allowance(TimePoint aNow, const LinkFaults& aFaults)
{
  if (aFaults.mBytesPerSecond == 0) {
    return std::numeric_limits<int>::max();
  }
  const auto rate = static_cast<double>(aFaults.mBytesPerSecond);
  const std::chrono::duration<double> elapsed = aNow - mFilled;
  mTokens = std::min(mTokens + rate * elapsed.count(),
                     std::max(1.0, rate * kBurstSeconds));
  mFilled = aNow;
  return static_cast<std::size_t>(mTokens);
}

bool
Flow::SendFront(std::size_t aMost, std::size_t& aSent)
{
  aSent = 0;
  std::string& bytes = mPieces.front().mBytes;
  const std::size_t length = std::min(bytes.size(), aMost);
  try {
    const int sent =
      mTo.sendBytes(bytes.data(), static_cast<int>(length), MSG_NOSIGNAL);
    aSent = sent > 0 ? static_cast<std::size_t>(sent) : 0;
  } catch (const Poco::Exception& fault) {
    return WouldBlock(fault);
  }
  bytes.erase(0, aSent);
  mWaitingBytes -= aSent;
  return true;
}

bool
Flow::Write(TimePoint aNow, const LinkFaults& aFaults)
{
  std::size_t allowance = Allowance(aNow, aFaults);
  while (allowance > 0 && !mPieces.empty() && mPieces.front().mDue <= aNow) {
    std::size_t sent = 0;
    if (!SendFront(allowance, sent)) {
      return false;
    }
    allowance -= sent;
    mTokens -= static_cast<double>(sent);
    if (!mPieces.front().mBytes.empty()) {
      return true;
    }
    mPieces.pop_front();
  }
  if (mEnded && mPieces.empty() && !mFinished) {
    mFinished = true;
    try {
      mTo.shutdownSend();
    } catch (const Poco::Exception&) {
      return false;
    }
  }
  return true;
}

} // namespace oriolevane::faultproxy
