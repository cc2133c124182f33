// Brings each accepted configuration version into force on this node: from the
// table, or from a peer that holds it.
#pragma once

#include <functional>

#include "codec/types/configurationmessages.h"
#include "codec/types/heartbeat.h"
#include "configuration/configurationstore.h"
#include "configuration/configurationview.h"

namespace oriolevane::node {

struct ConfigurationSyncHooks
{
  std::function<void(const NodeId&, const codec::ConfigurationPull&)> mSendPull;
  std::function<void(const NodeId&, const codec::ConfigurationBody&)> mSendBody;
};

// Thread-safe. A node without a version takes no requests; while the store is
// away it takes the highest version that a peer holds.
class ConfigurationSync
{
public:
  ConfigurationSync(const configuration::ConfigurationStore& aStore,
                    configuration::ConfigurationView& aView,
                    ConfigurationSyncHooks aHooks);

  // Reads the head from the table; blocks for one call to the store.
  void Poll();
  void OnHeartbeat(const codec::Heartbeat& aHeartbeat);
  void OnPull(const NodeId& aFrom, const codec::ConfigurationPull& aPull);
  void OnBody(const codec::ConfigurationBody& aBody);

private:
  void Adopt(const configuration::VersionedBody& aVersion, const char* aSource);

  const configuration::ConfigurationStore& mStore;
  configuration::ConfigurationView& mView;
  ConfigurationSyncHooks mHooks;
};

} // namespace oriolevane::node
