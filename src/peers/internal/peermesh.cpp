#include "peers/peermesh.h"

#include <utility>

#include <Poco/Exception.h>

#include "codec/codec.h"
#include "framework/log.h"
#include "peers/internal/meshloop.h"

namespace oriolevane::peers {

class PeerMesh::Impl
{
public:
  Impl(PeerMeshOptions aOptions, PeerMeshHooks aHooks)
    : mLoop(std::move(aOptions), std::move(aHooks))
  {
  }

  MeshLoop mLoop;
};

PeerMesh::PeerMesh(std::unique_ptr<Impl> aImpl)
  : mImpl(std::move(aImpl))
{
}

PeerMesh::~PeerMesh() = default;

absl::StatusOr<std::unique_ptr<PeerMesh>>
PeerMesh::Start(PeerMeshOptions aOptions, PeerMeshHooks aHooks)
{
  try {
    auto impl = std::make_unique<Impl>(std::move(aOptions), std::move(aHooks));
    return std::unique_ptr<PeerMesh>(new PeerMesh(std::move(impl)));
  } catch (const Poco::Exception& fault) {
    return absl::UnavailableError(fault.displayText());
  }
}

std::string
PeerMesh::Address() const
{
  return mImpl->mLoop.Address();
}

void
PeerMesh::SetMembers(std::vector<PeerMember> aMembers)
{
  mImpl->mLoop.SetMembers(std::move(aMembers));
}

bool
PeerMesh::Send(const NodeId& aTo, const codec::PeerMessage& aMessage)
{
  // The hello of the connection has said who sends.
  absl::StatusOr<std::string> body = codec::Encode(codec::Envelope(), aMessage);
  if (!body.ok()) {
    LogWarning("peer_message_refused")
      .With("peer", aTo)
      .With("kind", codec::MessageKindName(aMessage.index()))
      .With("reason", body.status().ToString());
    mImpl->mLoop.CountRefused();
    return false;
  }
  return mImpl->mLoop.Send(
    aTo, { .mKind = aMessage.index(), .mBody = *std::move(body) });
}

std::vector<NodeId>
PeerMesh::Connected() const
{
  return mImpl->mLoop.Connected();
}

TrafficCounters
PeerMesh::Counters() const
{
  return mImpl->mLoop.Counters();
}

} // namespace oriolevane::peers
