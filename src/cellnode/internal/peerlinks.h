// Manages the links to the other nodes of the cell, one for each node.
#pragma once

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

struct PeerHooks
{
  // Called for each hello of a node: the first on a link, and every later one.
  std::function<void(const NodeId&, const cellwire::HelloT&)> mOnHello;
  std::function<void(const NodeId&, const cellwire::MessageT&)> mOnMessage;
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
  // Sends a message to a node. Returns false when there is no link to it.
  template<typename Body>
  bool Send(const NodeId& aNode, Body aBody)
  {
    const auto found = mNodes.find(aNode);
    if (found == mNodes.end()) {
      return false;
    }
    SendFrame(*found->second, EncodeFrame(std::move(aBody)));
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

  void AddLink(std::unique_ptr<eventloop::FrameLink> aLink,
               std::string aConnectedAddress);
  void OnFrame(Peer& aPeer, std::string_view aFrame);
  static void SendFrame(Peer& aPeer, const std::string& aFrame);
  static absl::StatusOr<cellwire::MessageT> Decode(Peer& aPeer,
                                                   std::string_view aFrame);
  void OnHello(Peer& aPeer, const cellwire::HelloT& aHello);
  void CloseLink(Peer& aPeer);
  void RemoveClosedLinks();

  eventloop::EventLoop& mLoop;
  PeerHooks mHooks;
  cellwire::HelloT mHello;
  std::unique_ptr<eventloop::FrameListener> mListener;
  std::vector<std::unique_ptr<Peer>> mPeers;
  std::map<NodeId, Peer*> mNodes;
  std::unique_ptr<eventloop::Timer> mCleanupTimer;
};

} // namespace oriolevane::cellnode
