// Registers this node's address in the store, and tells the owner of the shard
// the addresses of all nodes.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "cellnode/internal/tablewatch.h"
#include "cellnode/types/nodehooks.h"
#include "cellnode/types/rows.h"
#include "eventloop/eventloop.h"
#include "eventloop/types/socketaddress.h"

namespace oriolevane::cellnode {

class NodeRegistry
{
public:
  NodeRegistry(eventloop::EventLoop& aLoop,
               const NodeOptions& aOptions,
               const RowStoreHooks& aStore);
  NodeRegistry(const NodeRegistry&) = delete;
  NodeRegistry& operator=(const NodeRegistry&) = delete;
  ~NodeRegistry();

  // Writes the node's address, and tries again later when that fails. Must be
  // called repeatedly.
  void Register(TimePoint aNow);
  // Follows the addresses of the other nodes until Forget().
  void Watch();
  void Forget();
  // Calls aConnect for each watched node that aIsLinked denies, at most once in
  // an interval. Nodes that cannot reach the store learn of a new owner this
  // way.
  void ConnectMissing(
    TimePoint aNow,
    const std::function<bool(const NodeId&)>& aIsLinked,
    const std::function<void(const eventloop::SocketAddress&)>& aConnect);

private:
  eventloop::EventLoop& mLoop;
  const NodeOptions& mOptions;
  const RowStoreHooks& mStore;
  std::unique_ptr<TableWatch> mWatch;
  std::map<NodeId, std::string> mAddresses;
  TimePoint mNextConnect;
  bool mRegistered = false;
  bool mRegistering = false;
  TimePoint mNextRegistration;
  std::shared_ptr<bool> mAlive = std::make_shared<bool>(true);
};

} // namespace oriolevane::cellnode
