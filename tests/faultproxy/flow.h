// One direction of a proxied connection.
#pragma once

#include <cstddef>
#include <deque>
#include <random>
#include <string>

#include <Poco/Net/StreamSocket.h>

#include "faultproxy/linkfaults.h"
#include "framework/types/timepoint.h"

namespace oriolevane::faultproxy {

// Sockets must not block. A false return means that the connection is broken.
class Flow
{
public:
  Flow(const Poco::Net::StreamSocket& aFrom,
       const Poco::Net::StreamSocket& aTo);

  const Poco::Net::StreamSocket& From() const { return mFrom; }
  // False at the end of the stream or while too much waits.
  bool WantsRead() const;
  bool HasWaiting() const { return !mPieces.empty(); }
  bool IsFinished() const { return mFinished; }

  bool Read(TimePoint aNow,
            const LinkFaults& aFaults,
            std::mt19937_64& aRandom);
  // Sends what is due and passes on the end of the stream.
  bool Write(TimePoint aNow, const LinkFaults& aFaults);

  bool IsWatched() const { return mWatched; }
  void SetWatched(bool aWatched) { mWatched = aWatched; }

private:
  struct Piece
  {
    TimePoint mDue;
    std::string mBytes;
  };

  std::size_t Allowance(TimePoint aNow, const LinkFaults& aFaults);
  bool SendFront(std::size_t aMost, std::size_t& aSent);

  Poco::Net::StreamSocket mFrom;
  Poco::Net::StreamSocket mTo;
  std::deque<Piece> mPieces;
  std::size_t mWaitingBytes = 0;
  double mTokens = 0;
  TimePoint mFilled;
  bool mEnded = false;
  bool mFinished = false;
  bool mWatched = false;
};

} // namespace oriolevane::faultproxy
