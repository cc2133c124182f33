#include "node/internal/nodemetrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include "gateway/statusjson.h"

namespace oriolevane::node {

using prometheus::BuildCounter;
using prometheus::BuildGauge;
using prometheus::BuildHistogram;

namespace {

const prometheus::Histogram::BucketBoundaries kWaitBuckets = {
  0.01, 0.05, 0.1, 0.5, 1, 3.5, 10, 60, 600, 3'600
};

} // namespace

class NodeMetrics::Impl
{
public:
  prometheus::Registry mRegistry;
  prometheus::Family<prometheus::Counter>& mReplies =
    BuildCounter()
      .Name("oriolevane_replies_total")
      .Help("Replies to callers by outcome and reason")
      .Register(mRegistry);
  prometheus::Counter& mRecords = BuildCounter()
                                    .Name("oriolevane_journal_records_total")
                                    .Help("Records made durable")
                                    .Register(mRegistry)
                                    .Add({});
  prometheus::Family<prometheus::Histogram>& mWaits =
    BuildHistogram()
      .Name("oriolevane_wait_seconds")
      .Help("Waiting time from submission to start by urgency")
      .Register(mRegistry);
  prometheus::Gauge& mStoreUp =
    Gauge("oriolevane_store_up",
          "1 while the platform's table service answers");
  prometheus::Gauge& mConfiguration =
    Gauge("oriolevane_configuration_version",
          "Configuration version in force here");
  prometheus::Gauge& mPartitions =
    Gauge("oriolevane_partitions_owned", "Request partitions owned");
  prometheus::Gauge& mServing = Gauge("oriolevane_partitions_serving",
                                      "Request partitions owned and recovered");
  prometheus::Gauge& mShards =
    Gauge("oriolevane_shards_owned", "Worker shards owned");
  prometheus::Gauge& mReady =
    Gauge("oriolevane_shards_ready", "Worker shards owned and recovered");
  prometheus::Gauge& mLive =
    Gauge("oriolevane_requests_live", "Requests without a final outcome");
  prometheus::Gauge& mPending =
    Gauge("oriolevane_journal_records_pending", "Records not yet durable");
  prometheus::Gauge& mCalls =
    Gauge("oriolevane_calls_pending",
          "Calls of this node's gateway without a reply");
  prometheus::Family<prometheus::Gauge>& mTraffic =
    BuildGauge()
      .Name("oriolevane_peer_bytes")
      .Help("Bytes between nodes since the start by kind")
      .Register(mRegistry);
  prometheus::Family<prometheus::Gauge>& mBurn =
    BuildGauge()
      .Name("oriolevane_burn_rate")
      .Help("Error-budget burn rate by window")
      .Register(mRegistry);

private:
  prometheus::Gauge& Gauge(const char* aName, const char* aHelp)
  {
    return BuildGauge().Name(aName).Help(aHelp).Register(mRegistry).Add({});
  }
};

NodeMetrics::NodeMetrics()
  : mImpl(std::make_unique<Impl>())
{
}

NodeMetrics::~NodeMetrics() = default;

void
NodeMetrics::CountReply(protocol::Outcome aOutcome,
                        protocol::RefusalReason aReason)
{
  mImpl->mReplies
    .Add({ { "outcome", std::string(gateway::OutcomeWord(aOutcome)) },
           { "reason", std::string(gateway::ReasonWord(aReason)) } })
    .Increment();
}

void
NodeMetrics::CountJournalRecords(std::size_t aRecords)
{
  mImpl->mRecords.Increment(static_cast<double>(aRecords));
}

void
NodeMetrics::ObserveWait(const coordination::ObjectiveSample& aSample)
{
  if (!aSample.mWaited.has_value()) {
    return;
  }
  const char* const urgencies[] = { "low", "normal", "urgent" };
  const std::string urgency =
    urgencies[static_cast<std::size_t>(aSample.mUrgency)];
  mImpl->mWaits.Add({ { "urgency", urgency } }, kWaitBuckets)
    .Observe(std::chrono::duration<double>(*aSample.mWaited).count());
}

void
NodeMetrics::SetStoreUp(bool aUp)
{
  mImpl->mStoreUp.Set(aUp ? 1 : 0);
}

void
NodeMetrics::SetConfiguration(ConfigurationVersion aVersion)
{
  mImpl->mConfiguration.Set(static_cast<double>(aVersion.mValue));
}

void
NodeMetrics::SetSummary(const NodeCoreSummary& aSummary)
{
  mImpl->mPartitions.Set(static_cast<double>(aSummary.mPartitions));
  mImpl->mServing.Set(static_cast<double>(aSummary.mServingPartitions));
  mImpl->mShards.Set(static_cast<double>(aSummary.mShards));
  mImpl->mReady.Set(static_cast<double>(aSummary.mReadyShards));
  mImpl->mLive.Set(static_cast<double>(aSummary.mLiveRequests));
  mImpl->mPending.Set(static_cast<double>(aSummary.mPendingRecords));
  mImpl->mCalls.Set(static_cast<double>(aSummary.mPendingCalls));
}

void
NodeMetrics::SetTraffic(const peers::TrafficCounters& aTraffic)
{
  const auto set = [this](const std::string& aKind,
                          const std::string& aDirection,
                          const peers::Traffic& aTraffic) {
    mImpl->mTraffic.Add({ { "kind", aKind }, { "direction", aDirection } })
      .Set(static_cast<double>(aTraffic.mBytes));
  };
  for (std::size_t kind = 0; kind < codec::kMessageKinds; ++kind) {
    set(std::string(codec::MessageKindName(kind)), "in", aTraffic.mIn[kind]);
    set(std::string(codec::MessageKindName(kind)), "out", aTraffic.mOut[kind]);
  }
  set("control", "in", aTraffic.mControlIn);
  set("control", "out", aTraffic.mControlOut);
}

void
NodeMetrics::SetBurn(const std::vector<report::BurnLine>& aLines)
{
  for (const report::BurnLine& line : aLines) {
    for (const report::BurnWindow& window : line.mWindows) {
      mImpl->mBurn
        .Add({ { "kind", line.mKind },
               { "name", line.mName },
               { "minutes", std::to_string(window.mLength.count()) } })
        .Set(window.mBurnRate);
    }
  }
}

std::string
NodeMetrics::Text() const
{
  return prometheus::TextSerializer().Serialize(mImpl->mRegistry.Collect());
}

} // namespace oriolevane::node
