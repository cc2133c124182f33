#include "cellnode/internal/peerhub.h"

#include <algorithm>
#include <utility>

#include "framework/log.h"

namespace oriolevane::cellnode {

namespace {

using namespace std::chrono_literals;

// A link on which nobody says hello is closed after this time.
constexpr std::chrono::milliseconds kHelloTimeout = 700ms;

} // namespace

PeerHub::PeerHub(eventloop::EventLoop& aLoop, PeerHooks aHooks)
  : mLoop(aLoop)
  , mHooks(std::move(aHooks))
{
  mSweeper = mLoop.MakeTimer([this] { Sweep(); });
}

absl::Status
PeerHub::Listen(const eventloop::SocketAddress& aAddress)
{
  mListener = std::make_unique<eventloop::FrameListener>(
    mLoop, [this](std::unique_ptr<eventloop::FrameLink> aLink) {
      Adopt(std::move(aLink), "");
    });
  return mListener->Listen(aAddress);
}

void
PeerHub::SetHello(cellwire::HelloT aHello)
{
  mHello = std::move(aHello);
  for (const std::unique_ptr<Peer>& peer : mPeers) {
    if (!peer->mClosed) {
      peer->mLink->Send(EncodeFrame(mHello));
    }
  }
}

void
PeerHub::Dial(const eventloop::SocketAddress& aAddress)
{
  const std::string text = aAddress.ToText();
  const bool open = std::any_of(
    mPeers.begin(), mPeers.end(), [&](const std::unique_ptr<Peer>& aPeer) {
      return !aPeer->mClosed && aPeer->mDialled == text;
    });
  if (!open) {
    Adopt(std::make_unique<eventloop::FrameLink>(mLoop, aAddress), text);
  }
}

void
PeerHub::Adopt(std::unique_ptr<eventloop::FrameLink> aLink,
               std::string aDialled)
{
  mPeers.push_back(std::make_unique<Peer>());
  Peer& peer = *mPeers.back();
  peer.mLink = std::move(aLink);
  peer.mDialled = std::move(aDialled);
  peer.mLink->SetHooks(
    { .mOnFrame = [this,
                   &peer](std::string_view aFrame) { OnFrame(peer, aFrame); },
      .mOnClosed = [this, &peer] { Drop(peer); } });
  peer.mTimer = mLoop.MakeTimer([this, &peer] {
    if (peer.mNode.Empty()) {
      Drop(peer);
    }
  });
  peer.mTimer->StartAfter(kHelloTimeout);
  peer.mLink->Send(EncodeFrame(mHello));
}

void
PeerHub::OnFrame(Peer& aPeer, std::string_view aFrame)
{
  const absl::StatusOr<cellwire::MessageT> message = DecodeFrame(aFrame);
  if (!message.ok()) {
    LogWarning("peer_frame_refused")
      .With("peer", aPeer.mNode)
      .With("status", message.status().ToString());
    Drop(aPeer);
    return;
  }
  if (const cellwire::HelloT* hello = message->body.AsHello();
      hello != nullptr) {
    OnHello(aPeer, *hello);
    return;
  }
  if (aPeer.mNode.Empty()) {
    return;
  }
  mHooks.mOnMessage(aPeer.mNode, *message);
}

void
PeerHub::OnHello(Peer& aPeer, const cellwire::HelloT& aHello)
{
  const NodeId node(aHello.node);
  if (aPeer.mNode.Empty()) {
    aPeer.mNode = node;
    const auto [place, added] = mNodes.emplace(node, &aPeer);
    if (!added) {
      // The newer link stays; the other side of the older may be gone.
      Peer* older = std::exchange(place->second, &aPeer);
      older->mNode = NodeId();
      Drop(*older);
    }
  }
  mHooks.mOnHello(node, aHello);
}

void
PeerHub::Drop(Peer& aPeer)
{
  if (aPeer.mClosed) {
    return;
  }
  aPeer.mClosed = true;
  aPeer.mLink->Close();
  mSweeper->StartWithin(Duration::zero());
  if (!aPeer.mNode.Empty()) {
    mNodes.erase(aPeer.mNode);
    mHooks.mOnClosed(aPeer.mNode);
  }
}

void
PeerHub::Close(const NodeId& aNode)
{
  const auto found = mNodes.find(aNode);
  if (found != mNodes.end()) {
    Drop(*found->second);
  }
}

// Links cannot be destroyed inside their own callbacks.
void
PeerHub::Sweep()
{
  std::erase_if(
    mPeers, [](const std::unique_ptr<Peer>& aPeer) { return aPeer->mClosed; });
}

std::vector<NodeId>
PeerHub::Nodes() const
{
  std::vector<NodeId> nodes;
  for (const auto& [node, peer] : mNodes) {
    nodes.push_back(node);
  }
  return nodes;
}

} // namespace oriolevane::cellnode
