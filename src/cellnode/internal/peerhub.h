// Links to the other nodes of the cell, one for each.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "absl/status/status.h"
#include "cellnode/internal/peercodec.h"
#include "eventloop/framelink.h"
#include "framework/types/ids.h"

namespace oriolevane::cellnode {

struct PeerHooks
{
  // The node has said who it is, for the first time on this link or again.
  std::function<void(const NodeId&, const cellwire::HelloT&)> mOnHello;
  std::function<void(const NodeId&, const cellwire::MessageT&)> mOnMessage;
  std::function<void(const NodeId&)> mOnClosed;
};

class PeerHub
{
public:
  PeerHub(eventloop::EventLoop& aLoop, PeerHooks aHooks);

  absl::Status Listen(const eventloop::SocketAddress& aAddress);
  // What this node says of itself; told to all at once when it changes.
  void SetHello(cellwire::HelloT aHello);
  // Does nothing while a link to the address is open or being opened.
  void Dial(const eventloop::SocketAddress& aAddress);
  template<typename Body>
  bool Send(const NodeId& aNode, Body aBody)
  {
    const auto found = mNodes.find(aNode);
    if (found == mNodes.end()) {
      return false;
    }
    found->second->mLink->Send(EncodeFrame(std::move(aBody)));
    return true;
  }
  void Close(const NodeId& aNode);
  bool IsLinked(const NodeId& aNode) const { return mNodes.contains(aNode); }
  std::vector<NodeId> Nodes() const;

private:
  struct Peer
  {
    std::unique_ptr<eventloop::FrameLink> mLink;
    // Empty until the other side has said hello.
    NodeId mNode;
    // Where this node connected to; empty for accepted links.
    std::string mDialled;
    std::unique_ptr<eventloop::Timer> mTimer;
    bool mClosed = false;
  };

  void Adopt(std::unique_ptr<eventloop::FrameLink> aLink, std::string aDialled);
  void OnFrame(Peer& aPeer, std::string_view aFrame);
  void OnHello(Peer& aPeer, const cellwire::HelloT& aHello);
  void Drop(Peer& aPeer);
  void Sweep();

  eventloop::EventLoop& mLoop;
  PeerHooks mHooks;
  cellwire::HelloT mHello;
  std::unique_ptr<eventloop::FrameListener> mListener;
  std::vector<std::unique_ptr<Peer>> mPeers;
  std::map<NodeId, Peer*> mNodes;
  std::unique_ptr<eventloop::Timer> mSweeper;
};

} // namespace oriolevane::cellnode
