#include "cellnode/internal/peerlinks.h"

#include <algorithm>
#include <utility>

#include "framework/log.h"

namespace oriolevane::cellnode {

namespace {

using namespace std::chrono_literals;

// A link on which no hello arrives is closed after this time.
constexpr std::chrono::milliseconds kHelloTimeout = 700ms;
// Each of two nodes can have connected to the other one.
constexpr std::size_t kMaxLinksPerNode = 2;
// The bytes of all links are counted only when one has more than this to send.
constexpr std::size_t kCountedQueueBytes = 65'536;

// True when a hello, or a later one of the same process, has been received
// before.
bool
IsOutdated(const cellwire::HelloT& aHello, const cellwire::HelloT& aLast)
{
  return aHello.incarnation == aLast.incarnation && aHello.sequence != 0 &&
         aHello.sequence <= aLast.sequence;
}

} // namespace

PeerLinks::PeerLinks(eventloop::EventLoop& aLoop, PeerHooks aHooks)
  : mLoop(aLoop)
  , mHooks(std::move(aHooks))
{
  mCleanupTimer = mLoop.MakeTimer([this] { RemoveClosedLinks(); });
}

absl::Status
PeerLinks::Listen(const eventloop::SocketAddress& aAddress)
{
  mListener = std::make_unique<eventloop::FrameListener>(
    mLoop, [this](std::unique_ptr<eventloop::FrameLink> aLink) {
      AddLink(std::move(aLink), "");
    });
  return mListener->Listen(aAddress);
}

void
PeerLinks::SetHello(cellwire::HelloT aHello)
{
  mHello = std::move(aHello);
  mHello.sequence = ++mLastHelloSequence;
  for (const std::unique_ptr<Peer>& peer : mPeers) {
    if (!peer->mClosed) {
      SendFrame(*peer, EncodeFrame(mHello));
    }
  }
}

void
PeerLinks::Connect(const eventloop::SocketAddress& aAddress)
{
  const std::string text = aAddress.ToText();
  const bool open = std::any_of(
    mPeers.begin(), mPeers.end(), [&](const std::unique_ptr<Peer>& aPeer) {
      return !aPeer->mClosed && aPeer->mConnectedAddress == text;
    });
  if (!open) {
    AddLink(std::make_unique<eventloop::FrameLink>(mLoop, aAddress), text);
  }
}

void
PeerLinks::AddLink(std::unique_ptr<eventloop::FrameLink> aLink,
                   std::string aConnectedAddress)
{
  mPeers.push_back(std::make_unique<Peer>());
  Peer& peer = *mPeers.back();
  peer.mLink = std::move(aLink);
  peer.mConnectedAddress = std::move(aConnectedAddress);
  peer.mLink->SetHooks(
    { .mOnFrame = [this,
                   &peer](std::string_view aFrame) { OnFrame(peer, aFrame); },
      .mOnClosed = [this, &peer] { CloseLink(peer); },
      .mOnPartialFrame = [this] { LimitPartialBytes(); } });
  peer.mTimer = mLoop.MakeTimer([this, &peer] {
    if (peer.mNode.Empty()) {
      CloseLink(peer);
    }
  });
  peer.mTimer->StartAfter(kHelloTimeout);
  peer.mLink->SetMaxPayload(kMaxHelloBytes);
  SendFrame(peer, EncodeFrame(mHello));
  LimitUnidentifiedLinks();
}

void
PeerLinks::LimitUnidentifiedLinks()
{
  std::size_t count = 0;
  Peer* oldest = nullptr;
  for (const std::unique_ptr<Peer>& peer : mPeers) {
    if (!peer->mClosed && peer->mNode.Empty() &&
        peer->mConnectedAddress.empty()) {
      oldest = oldest == nullptr ? peer.get() : oldest;
      ++count;
    }
  }
  if (count > kMaxUnidentifiedLinks) {
    LogWarning("peer_link_closed")
      .With("reason", "too many links without a hello")
      .With("links", count);
    CloseLink(*oldest);
  }
}

void
PeerLinks::SendFrame(Peer& aPeer, const std::string& aFrame)
{
  if (aPeer.mCompressor != nullptr) {
    if (const auto compressed = aPeer.mCompressor->Compress(aFrame);
        compressed.has_value()) {
      aPeer.mLink->Send(*compressed);
      LimitQueuedBytes(aPeer);
      return;
    }
    LogWarning("peer_compression_failed").With("peer", aPeer.mNode);
    aPeer.mCompressor.reset();
    aPeer.mCompressionFailed = true;
  }
  aPeer.mLink->Send(aFrame);
  LimitQueuedBytes(aPeer);
}

void
PeerLinks::LimitPartialBytes()
{
  LimitBytes(&eventloop::FrameLink::ReceivedBytes,
             kMaxPartialBytes,
             "incomplete frames have too many bytes");
}

void
PeerLinks::LimitQueuedBytes(const Peer& aSender)
{
  if (aSender.mLink->QueuedBytes() > kCountedQueueBytes) {
    LimitBytes(&eventloop::FrameLink::QueuedBytes,
               kMaxQueuedBytes,
               "too many bytes wait to be sent");
  }
}

void
PeerLinks::LimitBytes(std::size_t (eventloop::FrameLink::*aBytes)() const,
                      std::size_t aMaxBytes,
                      std::string_view aReason)
{
  std::size_t sum = 0;
  std::size_t most = 0;
  Peer* largest = nullptr;
  for (const std::unique_ptr<Peer>& peer : mPeers) {
    const std::size_t bytes = (*peer->mLink.*aBytes)();
    sum += bytes;
    if (bytes > most) {
      most = bytes;
      largest = peer.get();
    }
  }
  if (sum > aMaxBytes) {
    LogWarning("peer_link_closed")
      .With("peer", largest->mNode)
      .With("reason", aReason)
      .With("bytes", most)
      .With("all_bytes", sum);
    // The caller may be in the middle of its work with the links.
    largest->mLink->Abort();
  }
}

absl::StatusOr<cellwire::MessageT>
PeerLinks::Decode(Peer& aPeer, std::string_view aFrame)
{
  if (!IsCompressedFrame(aFrame)) {
    return DecodeFrame(aFrame);
  }
  if (aPeer.mNode.Empty()) {
    return absl::InvalidArgumentError("a compressed frame before the hello");
  }
  if (aPeer.mDecompressor == nullptr) {
    aPeer.mDecompressor = std::make_unique<FrameDecompressor>();
  }
  const absl::StatusOr<std::string> frame =
    aPeer.mDecompressor->Decompress(aFrame);
  if (!frame.ok()) {
    return frame.status();
  }
  return DecodeFrame(*frame);
}

void
PeerLinks::OnFrame(Peer& aPeer, std::string_view aFrame)
{
  const absl::StatusOr<cellwire::MessageT> message = Decode(aPeer, aFrame);
  if (!message.ok()) {
    LogWarning("peer_frame_refused")
      .With("peer", aPeer.mNode)
      .With("status", message.status().ToString());
    CloseLink(aPeer);
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
PeerLinks::OnHello(Peer& aPeer, const cellwire::HelloT& aHello)
{
  const NodeId node(aHello.node);
  if (const absl::Status status = CheckHello(aPeer, aHello); !status.ok()) {
    RefuseHello(aPeer, status);
    return;
  }
  if (aHello.accepts_compression && aPeer.mCompressor == nullptr &&
      !aPeer.mCompressionFailed &&
      (aHello.wants_compression || mHello.wants_compression)) {
    aPeer.mCompressor = std::make_unique<FrameCompressor>();
  }
  CloseLinksToPredecessor(node, aHello);
  if (aPeer.mNode.Empty()) {
    AssignToNode(aPeer, node);
  }
  LinkedNode& linked = mNodes[node];
  if (IsOutdated(aHello, linked.mLastHello)) {
    return;
  }
  linked.mLastHello = aHello;
  mHooks.mOnHello(node, aHello);
}

absl::Status
PeerLinks::CheckHello(const Peer& aPeer, const cellwire::HelloT& aHello) const
{
  const NodeId node(aHello.node);
  if (node.Empty()) {
    return absl::InvalidArgumentError("a hello without a node");
  }
  if (!aPeer.mNode.Empty() && aPeer.mNode != node) {
    return absl::InvalidArgumentError("a hello of another node");
  }
  if (!aPeer.mNode.Empty() &&
      mNodes.at(node).mLastHello.incarnation != aHello.incarnation) {
    return absl::InvalidArgumentError("a hello of another process");
  }
  if (aPeer.mConnectedAddress.empty() && !mNodes.contains(node) &&
      mNodes.size() >= kMaxLinkedNodes) {
    return absl::ResourceExhaustedError("too many nodes");
  }
  return absl::OkStatus();
}

void
PeerLinks::RefuseHello(Peer& aPeer, const absl::Status& aReason)
{
  LogWarning("peer_hello_refused")
    .With("peer", aPeer.mNode)
    .With("status", aReason.ToString());
  CloseLink(aPeer);
}

void
PeerLinks::CloseLinksToPredecessor(const NodeId& aNode,
                                   const cellwire::HelloT& aHello)
{
  auto found = mNodes.find(aNode);
  if (found == mNodes.end() ||
      found->second.mLastHello.incarnation == aHello.incarnation) {
    return;
  }
  const std::vector<Peer*> links = std::move(found->second.mLinks);
  mNodes.erase(found);
  for (Peer* link : links) {
    link->mNode = NodeId();
    CloseLink(*link);
  }
  mHooks.mOnClosed(aNode);
}

void
PeerLinks::AssignToNode(Peer& aPeer, const NodeId& aNode)
{
  aPeer.mNode = aNode;
  aPeer.mLink->SetMaxPayload(eventloop::kMaxFramePayloadBytes);
  std::vector<Peer*>& links = mNodes[aNode].mLinks;
  links.push_back(&aPeer);
  if (links.size() > kMaxLinksPerNode) {
    CloseLink(*links.front());
  }
}

void
PeerLinks::CloseLink(Peer& aPeer)
{
  if (aPeer.mClosed) {
    return;
  }
  aPeer.mClosed = true;
  aPeer.mLink->Close();
  mCleanupTimer->StartWithin(Duration::zero());
  if (aPeer.mNode.Empty()) {
    return;
  }
  const NodeId node = aPeer.mNode;
  const auto found = mNodes.find(node);
  std::erase(found->second.mLinks, &aPeer);
  if (found->second.mLinks.empty()) {
    mNodes.erase(found);
    mHooks.mOnClosed(node);
    return;
  }
  const cellwire::HelloT hello = found->second.mLastHello;
  mHooks.mOnClosed(node);
  mHooks.mOnHello(node, hello);
}

// Destroys closed links. This runs from a timer because a link cannot be
// destroyed within its own callbacks.
void
PeerLinks::RemoveClosedLinks()
{
  std::erase_if(
    mPeers, [](const std::unique_ptr<Peer>& aPeer) { return aPeer->mClosed; });
}

std::vector<NodeId>
PeerLinks::LinkedNodes() const
{
  std::vector<NodeId> nodes;
  for (const auto& [node, linked] : mNodes) {
    nodes.push_back(node);
  }
  return nodes;
}

} // namespace oriolevane::cellnode
