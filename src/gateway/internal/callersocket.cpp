#include "gateway/callersocket.h"

#include <algorithm>
#include <optional>
#include <utility>

#include <sys/socket.h>

#include <Poco/Exception.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/ServerSocketImpl.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocketImpl.h>

#include "framework/log.h"
#include "framework/types/timepoint.h"
#include "gateway/internal/lingeringclose.h"

namespace oriolevane::gateway {

namespace {

using std::chrono::milliseconds;

constexpr int kBacklog = 256;
// The request line and the headers, with empty lines before them and what of
// the body is read together with them.
constexpr std::size_t kMaxHeadBytes = 65'536;

// Used by one thread at a time, as Poco serves a connection.
class CallerSocketImpl : public Poco::Net::StreamSocketImpl
{
public:
  CallerSocketImpl(poco_socket_t aSocket, milliseconds aLimit)
    : Poco::Net::StreamSocketImpl(aSocket)
    , mLimit(aLimit)
  {
  }

  // Closes without a reset also when the caller is cut off while it sends.
  // NOLINTNEXTLINE(readability-identifier-naming)
  void close() override
  {
    if (std::exchange(mCutOff, false)) {
      mEnd.reset();
      mDraining = true;
      Drain();
    }
    Poco::Net::StreamSocketImpl::close();
  }

  // NOLINTNEXTLINE(readability-identifier-naming)
  int receiveBytes(void* aBuffer, int aLength, int aFlags) override
  {
    if (mEnd.has_value()) {
      AwaitMore();
    }
    const int count =
      Poco::Net::StreamSocketImpl::receiveBytes(aBuffer, aLength, aFlags);
    if (count > 0 && !mDraining) {
      OnReceived(static_cast<std::size_t>(count));
    }
    return count;
  }

  void EndHead() { mReadsHead = false; }
  bool IsCutOff() const { return mCutOff; }

  // The response ends the request.
  // NOLINTNEXTLINE(readability-identifier-naming)
  int sendBytes(const void* aBuffer, int aLength, int aFlags) override
  {
    mEnd.reset();
    mReadsHead = true;
    mHeadBytes = 0;
    AwaitTaken();
    return Poco::Net::StreamSocketImpl::sendBytes(aBuffer, aLength, aFlags);
  }

private:
  void OnReceived(std::size_t aBytes)
  {
    mSendEnd.reset();
    if (!mEnd.has_value()) {
      mEnd = std::chrono::steady_clock::now() + mLimit;
    }
    mHeadBytes += mReadsHead ? aBytes : 0;
    if (mHeadBytes > kMaxHeadBytes) {
      LogInfo("caller_cut_off").With("reason", "the headers are too long");
      mCutOff = true;
      throw Poco::Net::MessageException("the headers are too long");
    }
  }

  // A caller that does not read its response would hold a thread.
  void AwaitTaken()
  {
    const TimePoint now = std::chrono::steady_clock::now();
    if (!mSendEnd.has_value()) {
      mSendEnd = now + mLimit;
    }
    const Poco::Timespan left(
      std::chrono::duration_cast<std::chrono::microseconds>(*mSendEnd - now)
        .count());
    if (left <= 0 || !poll(left, SELECT_WRITE)) {
      LogInfo("caller_cut_off").With("reason", "the response is not read");
      mCutOff = true;
      throw Poco::TimeoutException("the response was not read in time");
    }
    setSendTimeout(left);
  }

  void AwaitMore()
  {
    const auto left = std::chrono::duration_cast<std::chrono::microseconds>(
      *mEnd - std::chrono::steady_clock::now());
    const Poco::Timespan wait =
      std::min(Poco::Timespan(left.count()), getReceiveTimeout());
    if (wait <= 0 || !poll(wait, SELECT_READ)) {
      mCutOff = true;
      throw Poco::TimeoutException("the request did not arrive in time");
    }
  }

  void Drain()
  {
    try {
      DrainBeforeClose(*this);
    } catch (const Poco::Exception& error) {
      LogDebug("caller_connection_lost").With("error", error.displayText());
    }
  }

  milliseconds mLimit;
  std::optional<TimePoint> mEnd;
  // Set while a response is sent.
  std::optional<TimePoint> mSendEnd;
  bool mReadsHead = true;
  std::size_t mHeadBytes = 0;
  // A limit of a request or of its response has been exceeded.
  bool mCutOff = false;
  // The connection takes no more requests.
  bool mDraining = false;
};

class ListeningImpl : public Poco::Net::ServerSocketImpl
{
public:
  explicit ListeningImpl(milliseconds aLimit)
    : mLimit(aLimit)
  {
  }

  // NOLINTNEXTLINE(readability-identifier-naming)
  Poco::Net::SocketImpl* acceptConnection(
    Poco::Net::SocketAddress& aCaller) override
  {
    sockaddr_storage address{};
    socklen_t length = sizeof(address);
    // NOLINTNEXTLINE(cppcoreguidelines-pro-type-reinterpret-cast)
    auto* generic = reinterpret_cast<sockaddr*>(&address);
    const int accepted = accept4(sockfd(), generic, &length, SOCK_CLOEXEC);
    if (accepted < 0) {
      error();
    }
    aCaller = Poco::Net::SocketAddress(generic, length);
    return new CallerSocketImpl(accepted, mLimit);
  }

private:
  milliseconds mLimit;
};

class ListeningSocket : public Poco::Net::ServerSocket
{
public:
  explicit ListeningSocket(milliseconds aLimit)
    : Poco::Net::ServerSocket(new ListeningImpl(aLimit), true)
  {
  }
};

} // namespace

void
EndHead(Poco::Net::StreamSocket& aSocket)
{
  if (auto* caller = dynamic_cast<CallerSocketImpl*>(aSocket.impl());
      caller != nullptr) {
    caller->EndHead();
  }
}

bool
IsCutOff(Poco::Net::StreamSocket& aSocket)
{
  const auto* caller = dynamic_cast<CallerSocketImpl*>(aSocket.impl());
  return caller != nullptr && caller->IsCutOff();
}

Poco::Net::ServerSocket
ListenForCallers(const std::string& aAddress, milliseconds aRequestLimit)
{
  ListeningSocket socket(aRequestLimit);
  // Poco's own way of listening would share the port with any other process of
  // the same user.
  socket.bind(Poco::Net::SocketAddress(aAddress), true, false);
  socket.listen(kBacklog);
  return socket;
}

} // namespace oriolevane::gateway
