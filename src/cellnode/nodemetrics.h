// Holds the counters and latency histograms of a node, for Prometheus.
#pragma once

#include <array>
#include <memory>
#include <string_view>
#include <vector>

#include <prometheus/counter.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include "cellnode/types/caller.h"
#include "framework/types/timepoint.h"
#include "jobs/types/jobstate.h"

namespace oriolevane::cellnode {

// The operations whose duration is measured; each has a histogram.
enum class Stage
{
  // From a caller's request to its answer, at the node that received it.
  Answer,
  // A journal transaction, from its first call to the answer.
  Record,
  // A query to the policy service, at the node that sends it.
  Advice,
  // From the moment a step can start to its first start, at the owner.
  Queue,
  // From a job's acceptance to its final state, at the owner.
  Job,
  Count
};

// What a node asks other nodes for.
enum class PeerRequest
{
  // To answer a caller.
  Caller,
  // To query the policy service.
  Advice,
  // To call a worker.
  WorkerCall,
  Count
};

std::string_view
ToText(PeerRequest aRequest);

class NodeMetrics
{
public:
  NodeMetrics();

  // Records the duration of one operation.
  void Observe(Stage aStage, Duration aTime);
  // Counts an answer to a caller of this node.
  void CountAnswer(CallerAnswerKind aKind);
  // Counts that this node became the owner of the shard.
  void CountOwnership() { mOwnerships->Increment(); }
  // Counts an answer to a request of another process or ownership term.
  void CountStaleAnswer(PeerRequest aRequest);
  // Counts a job that got its final state at this node.
  void CountClosedJob(jobs::CloseReason aReason);
  // Counts queries to the policy service that got lost within the owner.
  void CountLostQueries(std::size_t aQueries);
  std::vector<prometheus::MetricFamily> Collect() const;

private:
  static constexpr std::size_t kStages = static_cast<std::size_t>(Stage::Count);
  static constexpr std::size_t kPeerRequests =
    static_cast<std::size_t>(PeerRequest::Count);
  static constexpr std::size_t kCloseReasons =
    static_cast<std::size_t>(jobs::CloseReason::Count);

  prometheus::Registry mRegistry;
  std::array<prometheus::Histogram*, kStages> mStages{};
  std::array<prometheus::Counter*, kCallerAnswerKinds> mAnswers{};
  std::array<prometheus::Counter*, kPeerRequests> mStaleAnswers{};
  std::array<prometheus::Counter*, kCloseReasons> mClosedJobs{};
  prometheus::Counter* mOwnerships = nullptr;
  prometheus::Counter* mLostQueries = nullptr;
};

} // namespace oriolevane::cellnode
