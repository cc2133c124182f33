// HTTP for callers and operators.
#pragma once

#include <memory>
#include <string>

#include "absl/status/statusor.h"
#include "gateway/types/gatewayhooks.h"
#include "gateway/types/gatewayoptions.h"

namespace oriolevane::gateway {

// Serves from its making to Stop or its destruction.
class GatewayServer
{
public:
  // Unavailable when the address cannot be listened on; InvalidArgument when it
  // is not IP:PORT.
  static absl::StatusOr<std::unique_ptr<GatewayServer>> Start(
    const GatewayOptions& aOptions,
    GatewayHooks aHooks);
  ~GatewayServer();

  // The address listened on, with the port that was chosen.
  std::string Address() const;
  // Takes no new connections; those being served are finished.
  void StopAccepting();
  // Connections being served now.
  int ActiveConnections() const;
  // Waits until every connection has had its response and is closed, at most
  // for the time given. True when none was left.
  bool Stop(std::chrono::milliseconds aGrace);

private:
  class Impl;
  explicit GatewayServer(std::unique_ptr<Impl> aImpl);
  std::unique_ptr<Impl> mImpl;
};

} // namespace oriolevane::gateway
