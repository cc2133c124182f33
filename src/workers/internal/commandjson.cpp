#include "workers/workerjson.h"

#include <utility>
#include <variant>

#include <nlohmann/json.hpp>

#include "framework/fieldcount.h"
#include "workers/internal/jsonreader.h"
#include "workers/internal/jsonwriter.h"

namespace oriolevane::workers {

namespace {

static_assert(FieldCount<protocol::WorkerCommand>() == 8 &&
              FieldCount<protocol::StartOrder>() == 6 &&
              FieldCount<protocol::StopOrder>() == 2 &&
              FieldCount<protocol::ForgetOrder>() == 1 &&
              FieldCount<protocol::TaskKey>() == 3 &&
              FieldCount<Resources>() == 4);

using protocol::ForgetOrder;
using protocol::StartOrder;
using protocol::StopOrder;
using protocol::WorkerCommand;
using protocol::WorkerOrder;

nlohmann::json
OrderToJson(const StartOrder& aOrder)
{
  return { { "type", "start" },
           { "task", TaskToJson(aOrder.mTask) },
           { "partition", aOrder.mPartition.mValue },
           { "resources", AmountsToJson(aOrder.mResources) },
           { "neverRepeat", aOrder.mNeverRepeat },
           { "service", aOrder.mService },
           { "payload", BytesToJson(aOrder.mPayload) } };
}

nlohmann::json
OrderToJson(const StopOrder& aOrder)
{
  return { { "type", "stop" },
           { "task", TaskToJson(aOrder.mTask) },
           { "checkpoint", aOrder.mCheckpoint } };
}

nlohmann::json
OrderToJson(const ForgetOrder& aOrder)
{
  return { { "type", "forget" }, { "task", TaskToJson(aOrder.mTask) } };
}

StartOrder
ReadStart(JsonReader& aReader)
{
  StartOrder order;
  order.mTask = aReader.Task("task");
  order.mPartition = PartitionId(aReader.SmallNumber("partition"));
  order.mResources = aReader.Amounts("resources");
  order.mNeverRepeat = aReader.Flag("neverRepeat");
  order.mService = aReader.Flag("service");
  order.mPayload = aReader.Bytes("payload");
  return order;
}

WorkerOrder
ReadOrder(JsonReader& aReader)
{
  const std::string type = aReader.Id("type");
  if (type == "start") {
    return ReadStart(aReader);
  }
  if (type == "stop") {
    return StopOrder{ .mTask = aReader.Task("task"),
                      .mCheckpoint = aReader.Flag("checkpoint") };
  }
  if (type != "forget") {
    aReader.Fail("type", "not start, stop or forget");
  }
  return ForgetOrder{ .mTask = aReader.Task("task") };
}

} // namespace

absl::StatusOr<std::string>
EncodeExchangeRequest(const ExchangeRequest& aRequest)
{
  const WorkerCommand& command = aRequest.mCommand;
  nlohmann::json orders = nlohmann::json::array();
  for (const WorkerOrder& order : command.mOrders) {
    orders.push_back(std::visit(
      [](const auto& aOrder) { return OrderToJson(aOrder); }, order));
  }
  return WriteJson({ { "worker", command.mWorker.mValue },
                     { "workerIncarnation", command.mIncarnation.mValue },
                     { "shard", command.mShard.mValue },
                     { "epoch", command.mEpoch.mValue },
                     { "sequence", command.mSequence },
                     { "leaseAnchorMs", command.mLeaseAnchor.count() },
                     { "leaseForMs", command.mLeaseFor.count() },
                     { "reportTo", aRequest.mReportTo },
                     { "orders", std::move(orders) } });
}

absl::StatusOr<ExchangeRequest>
ParseExchangeRequest(std::string_view aText)
{
  nlohmann::json object;
  if (absl::Status parsed = ParseObject(aText, object); !parsed.ok()) {
    return parsed;
  }
  absl::Status status;
  JsonReader reader(object, "", status);
  ExchangeRequest request;
  request.mReportTo = reader.OptionalId("reportTo");
  WorkerCommand& command = request.mCommand;
  command.mWorker = WorkerId(reader.Id("worker"));
  command.mIncarnation = Incarnation(reader.Number("workerIncarnation"));
  command.mShard = ShardId(reader.SmallNumber("shard"));
  command.mEpoch = Epoch(reader.Number("epoch"));
  command.mSequence = reader.Number("sequence");
  command.mLeaseAnchor = reader.Time("leaseAnchorMs");
  command.mLeaseFor = reader.Time("leaseForMs");
  reader.ForEach("orders", [&command](JsonReader& aElement) {
    command.mOrders.push_back(ReadOrder(aElement));
  });
  if (!status.ok()) {
    return status;
  }
  return request;
}

} // namespace oriolevane::workers
