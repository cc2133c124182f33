#include "codec/internal/nodewire.h"

#include <algorithm>

namespace oriolevane::codec {

using protocol::ShardDigest;

Offset<wire::ShardDigest>
Write(FlatBufferBuilder& aBuilder, const ShardDigest& aMessage)
{
  const wire::Resources total = WriteAmounts(aMessage.mTotal);
  const wire::Resources free = WriteAmounts(aMessage.mFree);
  const wire::Resources largestWorker = WriteAmounts(aMessage.mLargestWorker);
  const wire::Resources largestFree = WriteAmounts(aMessage.mLargestFree);
  const auto owner = WriteText(aBuilder, aMessage.mOwner.mValue);
  const auto queued =
    aBuilder.CreateVector(aMessage.mQueued.data(), aMessage.mQueued.size());
  wire::ShardDigestBuilder table(aBuilder);
  table.add_shard(aMessage.mShard.mValue);
  table.add_epoch(aMessage.mEpoch.mValue);
  table.add_owner(owner);
  table.add_sequence(aMessage.mSequence);
  table.add_ready(aMessage.mReady);
  table.add_workers(aMessage.mWorkers);
  table.add_total(&total);
  table.add_free(&free);
  table.add_largest_worker(&largestWorker);
  table.add_largest_free(&largestFree);
  table.add_queued(queued);
  table.add_expected_wait_ms(aMessage.mExpectedWait.count());
  return table.Finish();
}

Offset<wire::Heartbeat>
Write(FlatBufferBuilder& aBuilder, const Heartbeat& aMessage)
{
  const auto node = WriteText(aBuilder, aMessage.mNode.mValue);
  const auto zone = WriteText(aBuilder, aMessage.mZone.mValue);
  const auto digests =
    WriteList(aBuilder, aMessage.mDigests, [&](const ShardDigest& aDigest) {
      return Write(aBuilder, aDigest);
    });
  std::vector<wire::OwnedPartition> owned;
  for (const OwnedPartition& partition : aMessage.mPartitions) {
    owned.emplace_back(partition.mPartition.mValue, partition.mEpoch.mValue);
  }
  const auto partitions = aBuilder.CreateVectorOfStructs(owned);
  wire::HeartbeatBuilder table(aBuilder);
  table.add_node(node);
  table.add_incarnation(aMessage.mIncarnation.mValue);
  table.add_zone(zone);
  table.add_configuration(aMessage.mConfiguration.mValue);
  table.add_leaving(aMessage.mLeaving);
  table.add_counter(aMessage.mCounter);
  table.add_digests(digests);
  table.add_partitions(partitions);
  return table.Finish();
}

Offset<wire::ConfigurationPull>
Write(FlatBufferBuilder& aBuilder, const ConfigurationPull& aMessage)
{
  return wire::CreateConfigurationPull(aBuilder, aMessage.mVersion.mValue);
}

Offset<wire::ConfigurationBody>
Write(FlatBufferBuilder& aBuilder, const ConfigurationBody& aMessage)
{
  const auto bytes = WriteBytes(aBuilder, aMessage.mBytes);
  return wire::CreateConfigurationBody(
    aBuilder, aMessage.mVersion.mValue, bytes);
}

ShardDigest
Read(WireReader& aReader, const wire::ShardDigest& aTable)
{
  ShardDigest message;
  message.mShard = ShardId(aTable.shard());
  message.mEpoch = Epoch(aTable.epoch());
  message.mOwner = NodeId(aReader.OptionalId(aTable.owner(), "owner"));
  message.mSequence = aTable.sequence();
  message.mReady = aTable.ready();
  message.mWorkers = aTable.workers();
  message.mTotal = aReader.Amounts(aTable.total(), "total");
  message.mFree = aReader.Amounts(aTable.free(), "free");
  message.mLargestWorker =
    aReader.Amounts(aTable.largest_worker(), "largest_worker");
  message.mLargestFree = aReader.Amounts(aTable.largest_free(), "largest_free");
  const std::vector<std::uint32_t> queued =
    aReader.Numbers(aTable.queued(), "queued");
  if (queued.size() != protocol::kUrgencyLevels) {
    aReader.Fail("queued", "not one number a level of urgency");
    return message;
  }
  std::copy(queued.begin(), queued.end(), message.mQueued.begin());
  message.mExpectedWait =
    aReader.Time(aTable.expected_wait_ms(), "expected_wait_ms");
  return message;
}

Heartbeat
Read(WireReader& aReader, const wire::Heartbeat& aTable)
{
  Heartbeat message;
  message.mNode = NodeId(aReader.Id(aTable.node(), "node"));
  message.mIncarnation = Incarnation(aTable.incarnation());
  message.mZone = ZoneId(aReader.OptionalId(aTable.zone(), "zone"));
  message.mConfiguration = ConfigurationVersion(aTable.configuration());
  message.mLeaving = aTable.leaving();
  message.mCounter = aTable.counter();
  message.mDigests = aReader.List(
    aTable.digests(), "digests", [&](const wire::ShardDigest* aDigest) {
      return Read(aReader, *aDigest);
    });
  message.mPartitions = aReader.List(
    aTable.partitions(), "partitions", [](const wire::OwnedPartition* aOwned) {
      return OwnedPartition{ .mPartition = PartitionId(aOwned->partition()),
                             .mEpoch = Epoch(aOwned->epoch()) };
    });
  return message;
}

ConfigurationPull
Read(WireReader&, const wire::ConfigurationPull& aTable)
{
  return { .mVersion = ConfigurationVersion(aTable.version()) };
}

ConfigurationBody
Read(WireReader& aReader, const wire::ConfigurationBody& aTable)
{
  return { .mVersion = ConfigurationVersion(aTable.version()),
           .mBytes = aReader.Bytes(aTable.bytes(), "bytes") };
}

} // namespace oriolevane::codec
