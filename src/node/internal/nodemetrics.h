// The node's numbers in Prometheus text.
#pragma once

#include <memory>
#include <string>

#include "coordination/types/objectivesample.h"
#include "gateway/types/gatewayhooks.h"
#include "node/nodecore.h"
#include "peers/types/trafficcounters.h"
#include "report/burntracker.h"

namespace oriolevane::node {

// Thread-safe. Label values come from the configuration or are node names,
// never from callers.
class NodeMetrics
{
public:
  NodeMetrics();
  ~NodeMetrics();

  void CountReply(protocol::Outcome aOutcome, protocol::RefusalReason aReason);
  void CountJournalRecords(std::size_t aRecords);
  void ObserveWait(const coordination::ObjectiveSample& aSample);
  void SetStoreUp(bool aUp);
  void SetConfiguration(ConfigurationVersion aVersion);
  void SetSummary(const NodeCoreSummary& aSummary);
  void SetTraffic(const peers::TrafficCounters& aTraffic);
  void SetBurn(const std::vector<report::BurnLine>& aLines);
  std::string Text() const;

private:
  class Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace oriolevane::node
