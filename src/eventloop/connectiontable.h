// All connections of clients to the HTTP servers of one process. It bounds
// their number for each server, and the memory and time that they take.
#pragma once

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <unordered_map>
#include <vector>

#include "eventloop/connectionlimits.h"
#include "eventloop/eventloop.h"

struct bufferevent;
struct event;
struct evconnlistener;
struct evhttp_connection;
struct evhttp_request;

namespace oriolevane::eventloop {

class ClientConnection;

// The connections of one server, which are counted together.
struct ConnectionGroup
{
  std::size_t mMaxConnections = 0;
  // The most that a connection may have sent of a request, in bytes. A request
  // at the server's limits must be below it.
  std::size_t mMaxRequestBytes = 0;
  evconnlistener* mListener = nullptr;
  std::function<void(evhttp_connection*)> mOnClosed;
  std::size_t mOpen = 0;
};

// Not thread-safe. It must outlive the servers that use it.
class ConnectionTable
{
public:
  explicit ConnectionTable(EventLoop& aLoop, ConnectionLimits aLimits = {});
  ConnectionTable(const ConnectionTable&) = delete;
  ConnectionTable& operator=(const ConnectionTable&) = delete;
  ~ConnectionTable();

  const ConnectionCounts& Counts() const { return mCounts; }

  // The functions below are called by servers.

  // The server of the group listens from now on.
  void Register(const ConnectionGroup& aGroup);
  // Makes the stream of a connection that is being accepted. When the group is
  // full, an idle connection is closed for it, or else one that is late with
  // its request or with taking its response, or else the new one.
  bufferevent* Accept(ConnectionGroup& aGroup);
  // A request has arrived whole. Returns false when the connection will be
  // closed, so that the request must not be carried out.
  bool BeginRequest(evhttp_connection* aConnection);
  // The response is about to be sent.
  void BeginResponse(evhttp_connection* aConnection, evhttp_request* aRequest);
  // The server of the group has freed its listener and its connections.
  void Forget(const ConnectionGroup& aGroup);

private:
  static void OnAcceptFailure(evconnlistener* aListener, void* aContext);
  static void OnClosed(evhttp_connection* aHttp, void* aContext);
  static void OnDeferred(int aSocket, short aEvents, void* aContext);
  static void OnResponseSent(evhttp_request* aRequest, void* aContext);

  ClientConnection* Find(evhttp_connection* aConnection) const;
  // Returns false when no connection of the group can be closed.
  bool CloseForNewConnection(const ConnectionGroup& aGroup);
  void Count(ClientConnection& aConnection);
  // Closes connections that hold most until the sum is within its limit.
  void Shed();
  ClientConnection* LargestToShed() const;
  // Closes the connection before the event loop waits again.
  void Condemn(ClientConnection& aConnection, CloseReason aReason);
  void RunDeferred();
  void Adopt(ClientConnection& aConnection);
  void Remove(ClientConnection& aConnection);
  void ResumeListeners();
  void OnTimer();
  void CloseLate();
  void LogClosed();

  EventLoop& mLoop;
  ConnectionLimits mLimits;
  ConnectionCounts mCounts;
  // What has been logged of mCounts.mClosed.
  std::map<CloseReason, std::uint64_t> mLogged;
  std::unordered_map<bufferevent*, std::unique_ptr<ClientConnection>>
    mConnections;
  // Accepted in this pass of the event loop.
  std::vector<ClientConnection*> mNew;
  std::vector<ClientConnection*> mCondemned;
  // Bytes that condemned connections hold.
  std::size_t mCondemnedBytes = 0;
  std::vector<evconnlistener*> mListeners;
  // Listeners that wait for a refused connection to be closed.
  std::vector<evconnlistener*> mPaused;
  event* mDeferred;
  std::unique_ptr<Timer> mTimer;
};

} // namespace oriolevane::eventloop
