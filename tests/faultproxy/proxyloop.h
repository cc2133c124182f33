// A TCP proxy that does harm to connections on request.
#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include <Poco/Net/PollSet.h>
#include <Poco/Net/ServerSocket.h>

#include "faultproxy/flow.h"
#include "faultproxy/linkfaults.h"

namespace oriolevane::faultproxy {

// A port that the proxy listens on, and where it carries connections to.
struct LinkSpec
{
  std::string mName;
  // IP and port; port 0 takes a free one.
  std::string mListen;
  std::string mTarget;
};

// One thread serves all links. The public methods are thread-safe.
class ProxyLoop
{
public:
  // Throws Poco::Exception when a port can't be listened on.
  ProxyLoop(const std::vector<LinkSpec>& aLinks, std::uint64_t aSeed);
  ProxyLoop(const ProxyLoop&) = delete;
  ProxyLoop& operator=(const ProxyLoop&) = delete;
  ~ProxyLoop();

  // IP and port of a link; empty when there is no such link.
  std::string Address(const std::string& aLink) const;
  // "*" names all links. False when there is no such link.
  bool ChangeFaults(const std::string& aLink,
                    const std::function<void(LinkFaults&)>& aChange);
  // The connections that are open now fall silent for good, in both
  // directions; new ones work.
  bool SilenceExisting(const std::string& aLink);
  // JSON: for each link its address, open connections and mode.
  std::string StateJson() const;

private:
  struct Relay
  {
    Flow mUp;
    Flow mDown;
    bool mSilenced = false;
    bool mHalfOpen = false;
  };

  struct Link
  {
    LinkSpec mSpec;
    Poco::Net::ServerSocket mServer;
    LinkFaults mFaults;
    std::list<Relay> mRelays;
    std::uint64_t mAccepted = 0;
  };

  bool ForEach(const std::string& aLink,
               const std::function<void(Link&)>& aVisit);
  void Run();
  void Accept(Link& aLink);
  // False when the relay is to be closed.
  bool Serve(Link& aLink, Relay& aRelay, TimePoint aNow);
  bool ServeFlow(Link& aLink,
                 const Relay& aRelay,
                 Flow& aFlow,
                 bool aSilent,
                 TimePoint aNow);
  void Watch(Flow& aFlow, bool aWatch);
  void Close(Relay& aRelay, bool aReset);
  void ServeLink(Link& aLink, TimePoint aNow);

  mutable std::mutex mMutex;
  std::mt19937_64 mRandom;
  std::map<std::string, Link> mLinks;
  Poco::Net::PollSet mPollSet;
  std::atomic<bool> mStopping{ false };
  std::thread mThread;
};

} // namespace oriolevane::faultproxy
