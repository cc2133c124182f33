// Calls workers on behalf of the owner of a shard and returns their answers in
// batches.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "cellnode/internal/recentjobs.h"
#include "cellnode/types/nodehooks.h"
#include "cellpeer_generated.h"

namespace oriolevane::cellnode {

struct RelayServerHooks
{
  UpstreamHooks mUpstreams;
  // Sends a batch to the node that asked for the calls. An answer that cannot
  // be sent is lost, and the owner's call ends without one.
  std::function<void(const NodeId&, cellwire::WorkerAnswerBatchT)> mSend;
  // Requests a call of Flush() soon.
  std::function<void()> mRequestFlush;
};

class RelayServer
{
public:
  explicit RelayServer(RelayServerHooks aHooks);
  RelayServer(const RelayServer&) = delete;
  RelayServer& operator=(const RelayServer&) = delete;
  ~RelayServer();

  // Makes the calls of a batch that a node has sent.
  void OnCalls(const NodeId& aFrom, const cellwire::WorkerCallBatchT& aBatch);
  // Notes that the link to a node is closed.
  void OnNodeGone(const NodeId& aNode) { mPayloads.erase(aNode); }
  // Sends the collected answers.
  void Flush();

private:
  void Start(const NodeId& aFrom, const cellwire::StartCallT& aCall);
  void Stop(const NodeId& aFrom, const cellwire::StopCallT& aCall);
  void Poll(const NodeId& aFrom, const cellwire::PollCallT& aCall);
  std::function<void(const jobs::OrderAnswer&)> OrderReplier(const NodeId& aTo,
                                                             std::uint64_t aId);
  cellwire::WorkerAnswerBatchT& BatchFor(const NodeId& aNode);

  RelayServerHooks mHooks;
  std::map<NodeId, cellwire::WorkerAnswerBatchT> mBatches;
  std::map<NodeId, RecentJobs<std::string>> mPayloads;
  std::shared_ptr<bool> mAlive = std::make_shared<bool>(true);
};

} // namespace oriolevane::cellnode
