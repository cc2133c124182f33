#include "faultproxy/proxyloop.h"

#include <utility>

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>
#include <nlohmann/json.hpp>

#include "framework/log.h"

namespace oriolevane::faultproxy {

namespace {

using Poco::Net::PollSet;
using Poco::Net::StreamSocket;

// Also the resolution of delays.
constexpr int kTickMicroseconds = 1000;

const char*
ModeName(LinkMode aMode)
{
  switch (aMode) {
    case LinkMode::Pass:
      return "pass";
    case LinkMode::Cut:
      return "cut";
    case LinkMode::HalfOpen:
      return "half-open";
  }
  return "unknown";
}

} // namespace

ProxyLoop::ProxyLoop(const std::vector<LinkSpec>& aLinks, std::uint64_t aSeed)
  : mRandom(aSeed)
{
  for (const LinkSpec& spec : aLinks) {
    Link& link = mLinks[spec.mName];
    link.mSpec = spec;
    link.mServer.bind(Poco::Net::SocketAddress(spec.mListen), true);
    link.mServer.listen();
    link.mServer.setBlocking(false);
    link.mSpec.mListen = link.mServer.address().toString();
  }
  mThread = std::thread([this] { Run(); });
}

ProxyLoop::~ProxyLoop()
{
  mStopping = true;
  mThread.join();
}

std::string
ProxyLoop::Address(const std::string& aLink) const
{
  const std::lock_guard lock(mMutex);
  const auto found = mLinks.find(aLink);
  return found == mLinks.end() ? "" : found->second.mSpec.mListen;
}

bool
ProxyLoop::ForEach(const std::string& aLink,
                   const std::function<void(Link&)>& aVisit)
{
  const std::lock_guard lock(mMutex);
  bool found = false;
  for (auto& [name, link] : mLinks) {
    if (aLink == "*" || aLink == name) {
      aVisit(link);
      found = true;
    }
  }
  return found;
}

bool
ProxyLoop::ChangeFaults(const std::string& aLink,
                        const std::function<void(LinkFaults&)>& aChange)
{
  return ForEach(aLink, [&](Link& aFound) { aChange(aFound.mFaults); });
}

bool
ProxyLoop::SilenceExisting(const std::string& aLink)
{
  return ForEach(aLink, [](Link& aFound) {
    for (Relay& relay : aFound.mRelays) {
      relay.mSilenced = true;
    }
  });
}

std::string
ProxyLoop::StateJson() const
{
  const std::lock_guard lock(mMutex);
  nlohmann::json links = nlohmann::json::array();
  for (const auto& [name, link] : mLinks) {
    links.push_back({ { "link", name },
                      { "listen", link.mSpec.mListen },
                      { "target", link.mSpec.mTarget },
                      { "mode", ModeName(link.mFaults.mMode) },
                      { "accepted", link.mAccepted },
                      { "open", link.mRelays.size() } });
  }
  return nlohmann::json{ { "links", std::move(links) } }.dump();
}

void
ProxyLoop::Run()
{
  while (!mStopping) {
    // Sleeps until something can be read, or for a tick; each pass then looks
    // at all connections, of which a test has few.
    mPollSet.poll(kTickMicroseconds);
    if (mPollSet.empty()) {
      std::this_thread::sleep_for(std::chrono::microseconds(kTickMicroseconds));
    }
    const TimePoint now = std::chrono::steady_clock::now();
    const std::lock_guard lock(mMutex);
    for (auto& [name, link] : mLinks) {
      Accept(link);
      ServeLink(link, now);
    }
  }
}

void
ProxyLoop::ServeLink(Link& aLink, TimePoint aNow)
{
  for (auto relay = aLink.mRelays.begin(); relay != aLink.mRelays.end();) {
    const bool cut = aLink.mFaults.mMode == LinkMode::Cut;
    const bool open = !cut && Serve(aLink, *relay, aNow);
    if (open) {
      ++relay;
      continue;
    }
    Close(*relay, !(relay->mUp.IsFinished() && relay->mDown.IsFinished()));
    relay = aLink.mRelays.erase(relay);
  }
}

void
ProxyLoop::Accept(Link& aLink)
{
  try {
    while (
      aLink.mServer.poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ)) {
      StreamSocket client = aLink.mServer.acceptConnection();
      ++aLink.mAccepted;
      if (aLink.mFaults.mMode == LinkMode::Cut) {
        continue;
      }
      client.setBlocking(false);
      client.setNoDelay(true);
      StreamSocket target;
      const bool halfOpen = aLink.mFaults.mMode == LinkMode::HalfOpen;
      if (!halfOpen) {
        target.connectNB(Poco::Net::SocketAddress(aLink.mSpec.mTarget));
        target.setNoDelay(true);
      }
      aLink.mRelays.push_back({ .mUp = Flow(client, target),
                                .mDown = Flow(target, client),
                                .mHalfOpen = halfOpen });
    }
  } catch (const Poco::Exception& fault) {
    LogWarning("relay_failed")
      .With("link", aLink.mSpec.mName)
      .With("reason", fault.displayText());
  }
}

bool
ProxyLoop::Serve(Link& aLink, Relay& aRelay, TimePoint aNow)
{
  const bool mute = aRelay.mSilenced || aRelay.mHalfOpen;
  const bool up =
    ServeFlow(aLink, aRelay, aRelay.mUp, mute || aLink.mFaults.mSilentUp, aNow);
  const bool down =
    up &&
    ServeFlow(
      aLink, aRelay, aRelay.mDown, mute || aLink.mFaults.mSilentDown, aNow);
  return down && !(aRelay.mUp.IsFinished() && aRelay.mDown.IsFinished());
}

bool
ProxyLoop::ServeFlow(Link& aLink,
                     const Relay& aRelay,
                     Flow& aFlow,
                     bool aSilent,
                     TimePoint aNow)
{
  if (aRelay.mHalfOpen) {
    return true;
  }
  Watch(aFlow, !aSilent && aFlow.WantsRead());
  if (aSilent) {
    return true;
  }
  if (aFlow.WantsRead() && !aFlow.Read(aNow, aLink.mFaults, mRandom)) {
    return false;
  }
  return aFlow.Write(aNow, aLink.mFaults);
}

void
ProxyLoop::Watch(Flow& aFlow, bool aWatch)
{
  if (aWatch == aFlow.IsWatched()) {
    return;
  }
  if (aWatch) {
    mPollSet.add(aFlow.From(), PollSet::POLL_READ);
  } else {
    mPollSet.remove(aFlow.From());
  }
  aFlow.SetWatched(aWatch);
}

void
ProxyLoop::Close(Relay& aRelay, bool aReset)
{
  for (Flow* flow : { &aRelay.mUp, &aRelay.mDown }) {
    Watch(*flow, false);
    StreamSocket socket = flow->From();
    try {
      if (aReset) {
        socket.setLinger(true, 0);
      }
      socket.close();
    } catch (const Poco::Exception& fault) {
      LogDebug("close_failed").With("reason", fault.displayText());
    }
  }
}

} // namespace oriolevane::faultproxy
