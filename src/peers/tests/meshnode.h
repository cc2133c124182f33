// One end of a mesh, with what it was told, for tests.
#pragma once

#include <chrono>
#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include <cppunit/TestAssert.h>

#include "peers/peermesh.h"

namespace oriolevane::peers {

class MeshNode
{
public:
  explicit MeshNode(const std::string& aName,
                    std::uint64_t aIncarnation = 1,
                    PeerMeshOptions aOptions = {})
  {
    aOptions.mNode = NodeId(aName);
    aOptions.mIncarnation = Incarnation(aIncarnation);
    auto mesh = PeerMesh::Start(
      aOptions,
      { .mOnMessage =
          [this](const codec::Envelope&, codec::PeerMessage aMessage) {
            const std::lock_guard lock(mMutex);
            mMessages.push_back(std::move(aMessage));
            mChanged.notify_all();
          },
        .mOnPeerState =
          [this](const NodeId&, Incarnation, PeerState aState) {
            const std::lock_guard lock(mMutex);
            (aState == PeerState::Up ? mUps : mDowns) += 1;
            mChanged.notify_all();
          } });
    CPPUNIT_ASSERT(mesh.ok());
    mMesh = *std::move(mesh);
    mMember = { .mNode = NodeId(aName),
                .mIncarnation = Incarnation(aIncarnation),
                .mAddress = mMesh->Address() };
  }

  // False when it did not come to pass within a time that is long on any
  // machine.
  bool WaitFor(const std::function<bool(const MeshNode&)>& aCondition)
  {
    constexpr std::chrono::seconds kLong{ 30 };
    std::unique_lock lock(mMutex);
    return mChanged.wait_for(lock, kLong, [&] { return aCondition(*this); });
  }
  bool WaitForUps(int aCount)
  {
    return WaitFor(
      [aCount](const MeshNode& aNode) { return aNode.mUps >= aCount; });
  }
  bool WaitForDowns(int aCount)
  {
    return WaitFor(
      [aCount](const MeshNode& aNode) { return aNode.mDowns >= aCount; });
  }
  bool WaitForMessages(std::size_t aCount)
  {
    return WaitFor([aCount](const MeshNode& aNode) {
      return aNode.mMessages.size() >= aCount;
    });
  }

  PeerMember mMember;
  // To be read within WaitFor, or when nothing is under way.
  std::vector<codec::PeerMessage> mMessages;
  int mUps = 0;
  int mDowns = 0;

private:
  std::mutex mMutex;
  std::condition_variable mChanged;

public:
  // Last, as its thread calls hooks that use the other members.
  std::unique_ptr<PeerMesh> mMesh;
};

} // namespace oriolevane::peers
