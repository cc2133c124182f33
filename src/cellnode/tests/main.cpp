#include "cellnode/tests/testgroups.h"
#include "framework/log.h"

int
main(int aCount, char** aArguments)
{
  oriolevane::SetLogLevel(oriolevane::LogLevel::Error);
  return oriolevane::testing::RunTests(
    aCount,
    aArguments,
    { { "cell journal", oriolevane::CellJournalTests },
      { "compression", oriolevane::CompressionTests },
      { "cell loader", oriolevane::CellLoaderTests },
      { "ownership policy", oriolevane::OwnershipPolicyTests },
      { "owner session", oriolevane::OwnerSessionTests },
      { "stale answers", oriolevane::StaleAnswerTests },
      { "predecessor", oriolevane::PredecessorTests },
      { "caller requests", oriolevane::CallerRequestHandlerTests },
      { "removed queues", oriolevane::RemovedQueueTests },
      { "caller overload", oriolevane::CallerOverloadTests },
      { "caller authorizer", oriolevane::CallerAuthorizerTests },
      { "configuration tracker", oriolevane::ConfigurationTrackerTests },
      { "peer links", oriolevane::PeerLinksTests },
      { "hostile peers", oriolevane::HostilePeersTests },
      { "peer messages", oriolevane::PeerMessagesTests },
      { "loop lag monitor", oriolevane::LoopLagMonitorTests },
      { "yield policy", oriolevane::YieldPolicyTests },
      { "advice admission", oriolevane::AdviceAdmissionTests },
      { "advice dispatcher", oriolevane::AdviceDispatcherTests },
      { "pending calls", oriolevane::PendingCallsTests },
      { "timeout estimator", oriolevane::TimeoutEstimatorTests },
      { "worker calls", oriolevane::WorkerCallsTests },
      { "relay selector", oriolevane::RelaySelectorTests },
      { "relayed calls", oriolevane::RelayedCallsTests },
      { "store activity", oriolevane::StoreActivityTests },
      { "table watch", oriolevane::TableWatchTests },
      { "record codec", oriolevane::RecordCodecTests },
      { "queue router", oriolevane::QueueRouterTests },
      { "malformed input", oriolevane::MalformedInputTests },
      { "metrics text", oriolevane::MetricsTextTests } });
}
