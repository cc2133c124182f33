#include <nlohmann/json.hpp>

#include "cellnode/internal/rowreader.h"
#include "cellnode/recordcodec.h"

namespace oriolevane::cellnode {

using nlohmann::json;

namespace {

using namespace std::chrono_literals;

// No run goes on for so long without an owner.
constexpr std::chrono::milliseconds kMaxRunsEndIn = 1h;

json
ToJson(const std::map<WorkerId, std::chrono::milliseconds>& aRunsEndIn)
{
  json value = json::object();
  for (const auto& [worker, time] : aRunsEndIn) {
    value[worker.mValue] = time.count();
  }
  return value;
}

std::map<WorkerId, std::chrono::milliseconds>
RunsEndInFrom(const json& aValue)
{
  std::map<WorkerId, std::chrono::milliseconds> runsEndIn;
  for (const auto& [worker, time] : aValue.items()) {
    const std::chrono::milliseconds end(time.get<std::int64_t>());
    if (end >= 0ms && end <= kMaxRunsEndIn) {
      runsEndIn[WorkerId(worker)] = end;
    }
  }
  return runsEndIn;
}

} // namespace

std::string
Encode(const OwnerRow& aRow)
{
  json value{ { "epoch", aRow.mEpoch.mValue },
              { "node", aRow.mNode.mValue },
              { "incarnation", aRow.mIncarnation.mValue },
              { "address", aRow.mAddress },
              { "sequence", aRow.mSequence },
              { "released", aRow.mReleased },
              { "best_fitness", aRow.mBestFitness },
              { "recovered", aRow.mRecovered },
              { "earlier_owners_gone", aRow.mEarlierOwnersGone } };
  if (!aRow.mRunsEndIn.empty()) {
    value["runs_end_in_ms"] = ToJson(aRow.mRunsEndIn);
  }
  return value.dump();
}

absl::StatusOr<OwnerRow>
DecodeOwner(std::string_view aText)
{
  return ReadRow<OwnerRow>(aText, [](const json& aValue) {
    return OwnerRow{
      .mEpoch = Epoch(aValue.at("epoch").get<std::uint64_t>()),
      .mNode = NodeId(aValue.at("node").get<std::string>()),
      .mIncarnation =
        Incarnation(aValue.at("incarnation").get<std::uint64_t>()),
      .mAddress = aValue.at("address").get<std::string>(),
      .mSequence = aValue.at("sequence").get<std::uint64_t>(),
      .mReleased = aValue.at("released").get<bool>(),
      // Missing in rows of older builds.
      .mBestFitness = aValue.value("best_fitness", 1.0),
      .mRecovered = aValue.value("recovered", false),
      .mEarlierOwnersGone = aValue.value("earlier_owners_gone", false),
      .mRunsEndIn =
        RunsEndInFrom(aValue.value("runs_end_in_ms", json::object()))
    };
  });
}

} // namespace oriolevane::cellnode
