#include "standins/platform/platformservice.h"

#include <chrono>
#include <optional>
#include <utility>

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <nlohmann/json.hpp>

#include "store/tablewire.h"

namespace oriolevane::standins {

namespace {

using Json = nlohmann::json;

constexpr std::size_t kMostScannedRows = 10000;

ServiceAnswer
Refusal(int aStatus, std::string aText)
{
  return { .mStatus = aStatus, .mBody = std::move(aText) };
}

ServiceAnswer
BadRequest(std::string aText)
{
  return Refusal(400, std::move(aText));
}

std::string
Parameter(const ServiceRequest& aRequest, const std::string& aName)
{
  const auto at = aRequest.mQuery.find(aName);
  return at == aRequest.mQuery.end() ? std::string() : at->second;
}

std::optional<std::uint64_t>
NumberParameter(const ServiceRequest& aRequest, const std::string& aName)
{
  std::uint64_t number = 0;
  if (!absl::SimpleAtoi(Parameter(aRequest, aName), &number)) {
    return std::nullopt;
  }
  return number;
}

std::optional<Outage>
ParseOutage(const std::string& aMode)
{
  if (aMode == "none") {
    return Outage::None;
  }
  if (aMode == "refuse") {
    return Outage::Refuse;
  }
  if (aMode == "hang") {
    return Outage::Hang;
  }
  if (aMode == "late") {
    return Outage::Late;
  }
  return std::nullopt;
}

TimePoint
Now()
{
  return std::chrono::steady_clock::now();
}

} // namespace

PlatformService::PlatformService(std::vector<store::HostEntry> aHosts,
                                 std::uint64_t aSeed)
  : mHosts(std::move(aHosts))
  , mFaults(aSeed)
{
}

ServiceAnswer
PlatformService::Handle(const ServiceRequest& aRequest)
{
  if (aRequest.mPath.starts_with("/control/")) {
    return Control(aRequest);
  }
  switch (mFaults.Admit()) {
    case Admission::Serve:
      return Serve(aRequest);
    case Admission::Refuse:
      return Refusal(503, "the store is away");
    case Admission::ServeSilently:
      Serve(aRequest);
      return { .mSilent = true };
    case Admission::Drop:
      break;
  }
  return { .mSilent = true };
}

ServiceAnswer
PlatformService::Serve(const ServiceRequest& aRequest)
{
  if (aRequest.mPath == "/table/commit") {
    return Commit(aRequest);
  }
  if (aRequest.mPath == "/table/scan") {
    return Scan(aRequest);
  }
  if (aRequest.mPath == "/table/row") {
    const auto row = mTable.Read(Parameter(aRequest, "key"));
    return { .mBody = store::EncodeRows({ row }) };
  }
  if (aRequest.mPath == "/objects") {
    return Object(aRequest);
  }
  if (aRequest.mPath == "/hosts") {
    return { .mBody = store::EncodeHosts(mHosts.Visible(Now())) };
  }
  return Refusal(404, "no such path");
}

ServiceAnswer
PlatformService::Commit(const ServiceRequest& aRequest)
{
  const auto transaction = store::DecodeTransaction(aRequest.mBody);
  if (!transaction.ok()) {
    return BadRequest(std::string(transaction.status().message()));
  }
  const auto result = mTable.Commit(*transaction, Now());
  if (!result.ok()) {
    return Refusal(409, std::string(result.status().message()));
  }
  return { .mBody = store::EncodeCommitResult(*result),
           .mSilent = mFaults.LosesAnswer() };
}

ServiceAnswer
PlatformService::Scan(const ServiceRequest& aRequest)
{
  const auto limit = NumberParameter(aRequest, "limit");
  if (!limit || *limit == 0 || *limit > kMostScannedRows) {
    return BadRequest("limit out of range");
  }
  return { .mBody = store::EncodeRows(mTable.Scan(Parameter(aRequest, "prefix"),
                                                  Parameter(aRequest, "after"),
                                                  *limit)) };
}

ServiceAnswer
PlatformService::Object(const ServiceRequest& aRequest)
{
  const std::string name = Parameter(aRequest, "name");
  if (aRequest.mMethod == "PUT") {
    mObjects.Put(name, aRequest.mBody);
    return {};
  }
  if (aRequest.mMethod == "DELETE") {
    mObjects.Remove(name);
    return {};
  }
  auto bytes = mObjects.Fetch(name);
  if (!bytes) {
    return Refusal(404, "no such object");
  }
  return { .mBody = *std::move(bytes) };
}

ServiceAnswer
PlatformService::Control(const ServiceRequest& aRequest)
{
  if (aRequest.mPath == "/control/statistics") {
    return Statistics();
  }
  if (aRequest.mPath == "/control/dump") {
    return Dump(Parameter(aRequest, "prefix"));
  }
  if (aRequest.mPath.starts_with("/control/hosts/")) {
    return ControlHosts(aRequest);
  }
  return ControlFaults(aRequest);
}

ServiceAnswer
PlatformService::ControlFaults(const ServiceRequest& aRequest)
{
  if (aRequest.mPath == "/control/outage") {
    const auto outage = ParseOutage(Parameter(aRequest, "mode"));
    if (!outage) {
      return BadRequest("mode is none, refuse, hang or late");
    }
    mFaults.SetOutage(*outage);
    return {};
  }
  if (aRequest.mPath == "/control/delay") {
    const auto millis = NumberParameter(aRequest, "ms");
    if (!millis) {
      return BadRequest("ms is a number");
    }
    mFaults.SetDelay(std::chrono::milliseconds(*millis));
    return {};
  }
  if (aRequest.mPath == "/control/lose") {
    if (const auto next = NumberParameter(aRequest, "next")) {
      mFaults.LoseNextAnswers(*next);
    }
    double probability = 0;
    if (absl::SimpleAtod(Parameter(aRequest, "probability"), &probability) &&
        probability >= 0 && probability <= 1) {
      mFaults.SetLossProbability(probability);
    }
    return {};
  }
  return Refusal(404, "no such control");
}

ServiceAnswer
PlatformService::ControlHosts(const ServiceRequest& aRequest)
{
  const WorkerId worker(Parameter(aRequest, "worker"));
  if (aRequest.mPath == "/control/hosts/lag") {
    const auto millis = NumberParameter(aRequest, "ms");
    if (!millis) {
      return BadRequest("ms is a number");
    }
    mHosts.SetLag(std::chrono::milliseconds(*millis));
    return {};
  }
  if (aRequest.mPath == "/control/hosts/put") {
    const auto hosts = store::DecodeHosts(aRequest.mBody);
    if (!hosts.ok()) {
      return BadRequest(std::string(hosts.status().message()));
    }
    for (const store::HostEntry& host : *hosts) {
      mHosts.Put(host, Now());
    }
    return {};
  }
  if (aRequest.mPath == "/control/hosts/remove") {
    mHosts.Remove(worker, Now());
    return {};
  }
  if (aRequest.mPath == "/control/hosts/leaving") {
    const bool leaving = Parameter(aRequest, "leaving") != "false";
    return mHosts.MarkLeaving(worker, leaving, Now())
             ? ServiceAnswer{}
             : Refusal(404, "no such worker");
  }
  return Refusal(404, "no such control");
}

ServiceAnswer
PlatformService::Statistics() const
{
  const TableStatistics statistics = mTable.Statistics(Now());
  const Json json{
    { "reads", statistics.mReads },
    { "rows_read", statistics.mRowsRead },
    { "transactions", statistics.mTransactions },
    { "refused_transactions", statistics.mRefusedTransactions },
    { "rows_written", statistics.mRowsWritten },
    { "transactions_per_second", statistics.mTransactionsPerSecond },
    { "rows_written_per_second", statistics.mRowsWrittenPerSecond },
  };
  return { .mBody = json.dump() };
}

ServiceAnswer
PlatformService::Dump(const std::string& aPrefix) const
{
  Json rows = Json::array();
  for (const store::TableRow& row : mTable.Dump(aPrefix)) {
    rows.push_back({ { "key", row.mKey },
                     { "value", row.mValue },
                     { "version", row.mVersion } });
  }
  return { .mBody = Json{ { "rows", std::move(rows) } }.dump(
             -1, ' ', false, Json::error_handler_t::replace) };
}

} // namespace oriolevane::standins
