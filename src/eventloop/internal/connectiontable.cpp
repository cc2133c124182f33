#include "eventloop/connectiontable.h"

#include <cerrno>
#include <cstring>
#include <utility>

#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/listener.h>

#include "eventloop/internal/clientconnection.h"
#include "framework/log.h"

namespace oriolevane::eventloop {

namespace {

using std::chrono::milliseconds;

// What the connection of an ordinary request holds at most, so that it is not
// closed for the sum.
constexpr std::size_t kOrdinaryBytes = 16384;
// A request or response that takes longer than this does not keep a new client
// out.
constexpr milliseconds kOrdinaryDuration{ 1000 };
constexpr milliseconds kTimerInterval{ 500 };

// The place of a connection that is not closed for a new one.
constexpr int kLastPlace = 2;

// In the order in which they are closed for a new connection; of the same
// place, the oldest is closed.
int
PlaceForClosing(const ClientConnection& aConnection, TimePoint aNow)
{
  switch (aConnection.State()) {
    case ConnectionState::Idle:
      return 0;
    case ConnectionState::Receiving:
    case ConnectionState::Responding:
      return aNow - aConnection.Since() > kOrdinaryDuration ? 1 : kLastPlace;
    case ConnectionState::Answering:
      break;
  }
  return kLastPlace;
}

} // namespace

std::string_view
ToText(CloseReason aReason)
{
  switch (aReason) {
    case CloseReason::TooManyConnections:
      return "too_many_connections";
    case CloseReason::TooMuchBuffered:
      return "too_much_buffered";
    case CloseReason::RequestTimeout:
      return "request_timeout";
    case CloseReason::ResponseTimeout:
      break;
  }
  return "response_timeout";
}

ConnectionTable::ConnectionTable(EventLoop& aLoop, ConnectionLimits aLimits)
  : mLoop(aLoop)
  , mLimits(aLimits)
  , mDeferred(event_new(aLoop.Base(), -1, 0, &OnDeferred, this))
  , mTimer(aLoop.MakeTimer([this] { OnTimer(); }))
{
  for (const CloseReason reason : { CloseReason::TooManyConnections,
                                    CloseReason::TooMuchBuffered,
                                    CloseReason::RequestTimeout,
                                    CloseReason::ResponseTimeout }) {
    mCounts.mClosed[reason] = 0;
  }
}

ConnectionTable::~ConnectionTable()
{
  event_free(mDeferred);
}

void
ConnectionTable::Register(const ConnectionGroup& aGroup)
{
  mListeners.push_back(aGroup.mListener);
  evconnlistener_set_error_cb(aGroup.mListener, &OnAcceptFailure);
  mTimer->StartWithin(kTimerInterval);
}

// Without a pause, the loop would try again at once and as long as a client
// waits. The context is that of the library.
void
ConnectionTable::OnAcceptFailure(evconnlistener* aListener, void*)
{
  LogWarning("accept_failed").With("error", std::strerror(errno));
  evconnlistener_disable(aListener);
}

void
ConnectionTable::ResumeListeners()
{
  for (evconnlistener* listener : mListeners) {
    evconnlistener_enable(listener);
  }
}

bufferevent*
ConnectionTable::Accept(ConnectionGroup& aGroup)
{
  const bool isRefused =
    aGroup.mOpen >= aGroup.mMaxConnections && !CloseForNewConnection(aGroup);
  bufferevent* stream = bufferevent_socket_new(mLoop.Base(), -1, 0);
  auto& connection = mConnections[stream];
  connection = std::make_unique<ClientConnection>(
    stream, aGroup, [this](ClientConnection& aChanged) { Count(aChanged); });
  ++aGroup.mOpen;
  mCounts.mOpen = mConnections.size();
  mNew.push_back(connection.get());
  event_active(mDeferred, EV_TIMEOUT, 0);
  if (isRefused) {
    Condemn(*connection, CloseReason::TooManyConnections);
    evconnlistener_disable(aGroup.mListener);
    mPaused.push_back(aGroup.mListener);
  }
  return stream;
}

bool
ConnectionTable::CloseForNewConnection(const ConnectionGroup& aGroup)
{
  const TimePoint now = std::chrono::steady_clock::now();
  ClientConnection* chosen = nullptr;
  std::pair<int, TimePoint> best(kLastPlace, TimePoint());
  for (const auto& [stream, connection] : mConnections) {
    if (&connection->Group() != &aGroup || connection->mHttp == nullptr ||
        connection->mIsCondemned) {
      continue;
    }
    const std::pair key(PlaceForClosing(*connection, now), connection->Since());
    if (key < best) {
      best = key;
      chosen = connection.get();
    }
  }
  if (chosen == nullptr) {
    return false;
  }
  ++mCounts.mClosed[CloseReason::TooManyConnections];
  evhttp_connection_free(chosen->mHttp);
  return true;
}

bool
ConnectionTable::BeginRequest(evhttp_connection* aConnection)
{
  ClientConnection* connection = Find(aConnection);
  connection->Enter(ConnectionState::Answering);
  return !connection->mIsCondemned;
}

void
ConnectionTable::BeginResponse(evhttp_connection* aConnection,
                               evhttp_request* aRequest)
{
  ClientConnection* connection = Find(aConnection);
  connection->Enter(ConnectionState::Responding);
  evhttp_request_set_on_complete_cb(aRequest, &OnResponseSent, connection);
}

void
ConnectionTable::OnResponseSent(evhttp_request*, void* aContext)
{
  static_cast<ClientConnection*>(aContext)->AwaitNextRequest();
}

void
ConnectionTable::Forget(const ConnectionGroup& aGroup)
{
  std::vector<ClientConnection*> left;
  for (const auto& [stream, connection] : mConnections) {
    if (&connection->Group() == &aGroup) {
      left.push_back(connection.get());
    }
  }
  for (ClientConnection* connection : left) {
    Remove(*connection);
  }
  std::erase(mPaused, aGroup.mListener);
  std::erase(mListeners, aGroup.mListener);
}

ClientConnection*
ConnectionTable::Find(evhttp_connection* aConnection) const
{
  return mConnections.at(evhttp_connection_get_bufferevent(aConnection)).get();
}

void
ConnectionTable::Count(ClientConnection& aConnection)
{
  const std::size_t before =
    std::exchange(aConnection.mCountedBytes, aConnection.HeldBytes());
  const std::size_t change = aConnection.mCountedBytes - before;
  mCounts.mBufferedBytes += change;
  if (aConnection.mIsCondemned) {
    mCondemnedBytes += change;
  }
  Shed();
}

void
ConnectionTable::Shed()
{
  while (mCounts.mBufferedBytes - mCondemnedBytes > mLimits.mMaxBufferedBytes) {
    ClientConnection* largest = LargestToShed();
    if (largest == nullptr) {
      return;
    }
    Condemn(*largest, CloseReason::TooMuchBuffered);
  }
}

// A request that is being answered is in the hands of the handler and keeps its
// connection.
ClientConnection*
ConnectionTable::LargestToShed() const
{
  ClientConnection* largest = nullptr;
  std::size_t most = kOrdinaryBytes;
  for (const auto& [stream, connection] : mConnections) {
    if (!connection->mIsCondemned && connection->mCountedBytes > most &&
        connection->State() != ConnectionState::Answering) {
      most = connection->mCountedBytes;
      largest = connection.get();
    }
  }
  return largest;
}

void
ConnectionTable::Condemn(ClientConnection& aConnection, CloseReason aReason)
{
  aConnection.mIsCondemned = true;
  aConnection.StopReading();
  mCondemnedBytes += aConnection.mCountedBytes;
  mCondemned.push_back(&aConnection);
  ++mCounts.mClosed[aReason];
  event_active(mDeferred, EV_TIMEOUT, 0);
}

void
ConnectionTable::OnDeferred(int, short, void* aContext)
{
  static_cast<ConnectionTable*>(aContext)->RunDeferred();
}

void
ConnectionTable::RunDeferred()
{
  for (ClientConnection* connection : std::exchange(mNew, {})) {
    Adopt(*connection);
  }
  while (!mCondemned.empty()) {
    // Freeing it removes it from the list.
    evhttp_connection_free(mCondemned.back()->mHttp);
  }
  for (evconnlistener* listener : std::exchange(mPaused, {})) {
    evconnlistener_enable(listener);
  }
}

// The library gives its object for a connection to the stream's callbacks only.
// Nothing can have happened on the stream since it was accepted, as the event
// loop has not waited in between.
void
ConnectionTable::Adopt(ClientConnection& aConnection)
{
  void* context = nullptr;
  bufferevent_getcb(aConnection.Stream(), nullptr, nullptr, nullptr, &context);
  aConnection.mHttp = static_cast<evhttp_connection*>(context);
  evhttp_connection_set_closecb(aConnection.mHttp, &OnClosed, this);
}

void
ConnectionTable::OnClosed(evhttp_connection* aHttp, void* aContext)
{
  auto* table = static_cast<ConnectionTable*>(aContext);
  ClientConnection* connection = table->Find(aHttp);
  connection->Group().mOnClosed(aHttp);
  table->Remove(*connection);
}

void
ConnectionTable::Remove(ClientConnection& aConnection)
{
  mCounts.mBufferedBytes -= aConnection.mCountedBytes;
  if (aConnection.mIsCondemned) {
    mCondemnedBytes -= aConnection.mCountedBytes;
    std::erase(mCondemned, &aConnection);
  }
  std::erase(mNew, &aConnection);
  --aConnection.Group().mOpen;
  mConnections.erase(aConnection.Stream());
  mCounts.mOpen = mConnections.size();
}

void
ConnectionTable::OnTimer()
{
  CloseLate();
  LogClosed();
  ResumeListeners();
  if (!mListeners.empty()) {
    mTimer->StartAfter(kTimerInterval);
  }
}

void
ConnectionTable::CloseLate()
{
  const TimePoint now = std::chrono::steady_clock::now();
  for (const auto& [stream, connection] : mConnections) {
    const Duration age = now - connection->Since();
    if (connection->mIsCondemned) {
      continue;
    }
    if (connection->State() == ConnectionState::Receiving &&
        age > mLimits.mRequestTimeout) {
      Condemn(*connection, CloseReason::RequestTimeout);
    } else if (connection->State() == ConnectionState::Responding &&
               age > mLimits.mResponseTimeout) {
      Condemn(*connection, CloseReason::ResponseTimeout);
    }
  }
}

// One line for each reason and interval, however many connections there were.
void
ConnectionTable::LogClosed()
{
  for (const auto& [reason, count] : mCounts.mClosed) {
    const std::uint64_t before = std::exchange(mLogged[reason], count);
    if (count > before) {
      LogWarning("connections_closed")
        .With("reason", ToText(reason))
        .With("connections", count - before)
        .With("open", mCounts.mOpen)
        .With("buffered_bytes", mCounts.mBufferedBytes);
    }
  }
}

} // namespace oriolevane::eventloop
