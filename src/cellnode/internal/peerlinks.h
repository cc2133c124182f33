// Manages the links to the other nodes of the cell. Two nodes that connect to
// each other at the same time have two links; both stay open, and messages are
// received on both, as the other side may send on either.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "absl/status/status.h"
#include "cellnode/compression.h"
#include "cellnode/internal/peercodec.h"
#include "eventloop/framelink.h"
#include "framework/types/ids.h"

namespace oriolevane::cellnode {

// The largest frame that is taken from a node before its first hello. A hello
// holds a few names and an address.
constexpr std::size_t kMaxHelloBytes = 16'384;
// The most accepted links without a hello. When there are more, the oldest one
// is closed. All nodes of a cell may connect at once.
constexpr std::size_t kMaxUnidentifiedLinks = 256;
// The most nodes that may be linked through links that they opened themselves.
// A cell has a few hundred nodes.
constexpr std::size_t kMaxLinkedNodes = 1024;
// The most bytes of incomplete frames, and the most bytes that wait to be sent,
// on all links together. Beyond it, the link with the most of them is closed.
constexpr std::size_t kMaxPartialBytes = 16U << 20U;
constexpr std::size_t kMaxQueuedBytes = 32U << 20U;

struct PeerHooks
{
  // Called for each new hello of a node.
  std::function<void(const NodeId&, const cellwire::HelloT&)> mOnHello;
  std::function<void(const NodeId&, const cellwire::MessageT&)> mOnMessage;
  // Called when a link to the node has closed, so that messages to and from it
  // may have been lost. When another link to the node is open, mOnHello follows
  // with the node's last hello.
  std::function<void(const NodeId&)> mOnClosed;
};

class PeerLinks
{
public:
  PeerLinks(eventloop::EventLoop& aLoop, PeerHooks aHooks);

  absl::Status Listen(const eventloop::SocketAddress& aAddress);
  // Sets the hello of this node and sends it on all links.
  void SetHello(cellwire::HelloT aHello);
  // Connects to a node. Does nothing while a link to the address is open or
  // connecting.
  void Connect(const eventloop::SocketAddress& aAddress);
  // Sends a message to a node, on the newest link to it. Returns false when
  // there is none.
  template<typename Body>
  bool Send(const NodeId& aNode, Body aBody)
  {
    const auto found = mNodes.find(aNode);
    if (found == mNodes.end()) {
      return false;
    }
    SendFrame(*found->second.mLinks.back(), EncodeFrame(std::move(aBody)));
    return true;
  }
  bool IsLinked(const NodeId& aNode) const { return mNodes.contains(aNode); }
  std::vector<NodeId> LinkedNodes() const;

private:
  struct Peer
  {
    std::unique_ptr<eventloop::FrameLink> mLink;
    // Empty until the other side has sent its hello.
    NodeId mNode;
    // The address that this node connected to; empty for accepted links.
    std::string mConnectedAddress;
    std::unique_ptr<eventloop::Timer> mTimer;
    bool mClosed = false;
    // Set from the first hello on when frames to the node are compressed.
    std::unique_ptr<FrameCompressor> mCompressor;
    bool mCompressionFailed = false;
    // Set from the first compressed frame on.
    std::unique_ptr<FrameDecompressor> mDecompressor;
  };

  // A node with at least one open link.
  struct LinkedNode
  {
    // Oldest first.
    std::vector<Peer*> mLinks;
    cellwire::HelloT mLastHello;
  };

  void AddLink(std::unique_ptr<eventloop::FrameLink> aLink,
               std::string aConnectedAddress);
  void OnFrame(Peer& aPeer, std::string_view aFrame);
  void SendFrame(Peer& aPeer, const std::string& aFrame);
  void LimitPartialBytes();
  void LimitQueuedBytes(const Peer& aSender);
  // Aborts the link with the most bytes when all links have more than aMaxBytes
  // together.
  void LimitBytes(std::size_t (eventloop::FrameLink::*aBytes)() const,
                  std::size_t aMaxBytes,
                  std::string_view aReason);
  static absl::StatusOr<cellwire::MessageT> Decode(Peer& aPeer,
                                                   std::string_view aFrame);
  void OnHello(Peer& aPeer, const cellwire::HelloT& aHello);
  // Returns why the hello is not accepted on the link.
  absl::Status CheckHello(const Peer& aPeer,
                          const cellwire::HelloT& aHello) const;
  void RefuseHello(Peer& aPeer, const absl::Status& aReason);
  // Closes the links to an earlier process of the node.
  void CloseLinksToPredecessor(const NodeId& aNode,
                               const cellwire::HelloT& aHello);
  // Adds a link to those of its node. Closes the oldest one when there are more
  // than two nodes that connect to each other can have.
  void AssignToNode(Peer& aPeer, const NodeId& aNode);
  void CloseLink(Peer& aPeer);
  // Closes the oldest accepted link without a hello when there are too many.
  void LimitUnidentifiedLinks();
  void RemoveClosedLinks();

  eventloop::EventLoop& mLoop;
  PeerHooks mHooks;
  cellwire::HelloT mHello;
  std::unique_ptr<eventloop::FrameListener> mListener;
  std::uint64_t mLastHelloSequence = 0;
  std::vector<std::unique_ptr<Peer>> mPeers;
  std::map<NodeId, LinkedNode> mNodes;
  std::unique_ptr<eventloop::Timer> mCleanupTimer;
};

} // namespace oriolevane::cellnode
