#include "gateway/submitparser.h"

#include <algorithm>

#include <fmt/format.h>

#include "framework/stablehash.h"
#include "settings/objectreader.h"

namespace oriolevane::gateway {

using settings::ObjectReader;
using std::chrono::milliseconds;

namespace {

constexpr std::size_t kMaxKeyBytes = 255;
constexpr std::int64_t kMaxTasks = 10'000;
constexpr std::int64_t kMaxAmount = 1'000'000'000;
constexpr milliseconds kYear{ 31'536'000'000 };
constexpr std::uint64_t kSecondHashSeed = 0x6f72696f;

bool
IsPrintable(std::string_view aText)
{
  return std::all_of(aText.begin(), aText.end(), [](char aByte) {
    return aByte > ' ' && aByte < 0x7f;
  });
}

protocol::Urgency
UrgencyOf(const std::string& aWord)
{
  if (aWord == "urgent") {
    return protocol::Urgency::Urgent;
  }
  return aWord == "low" ? protocol::Urgency::Low : protocol::Urgency::Normal;
}

Resources
ReadPerTask(ObjectReader& aReader)
{
  return Resources{
    .mMilliCores = aReader.Integer("milli_cores", { 0, kMaxAmount }, 1'000),
    .mMemoryMiB = aReader.Integer("memory_mib", { 0, kMaxAmount }, 256),
    .mAccelerators = aReader.Integer("accelerators", { 0, kMaxAmount }, 0),
    .mSlots = aReader.Integer("slots", { 0, kMaxAmount }, 1)
  };
}

void
ReadSpec(ObjectReader& aReader, protocol::RequestSpec& aSpec)
{
  aSpec.mTeam = TeamId(aReader.Text("team"));
  aSpec.mWorkload = WorkloadId(aReader.Text("workload"));
  aSpec.mUrgency =
    UrgencyOf(aReader.Word("urgency", { "low", "normal", "urgent" }, "normal"));
  aSpec.mNeverRepeat = aReader.Boolean("never_repeat", false);
  aSpec.mCallerWaits = aReader.Boolean("wait", false);
  aSpec.mService = aReader.Boolean("service", false);
  aSpec.mTaskCount =
    static_cast<std::uint32_t>(aReader.Integer("tasks", { 1, kMaxTasks }, 1));
  aSpec.mStartTogether = aReader.Boolean("start_together", false);
  aSpec.mDeclaredRunTime = aReader.Milliseconds(
    "run_time_ms", { milliseconds(0), kYear }, milliseconds(0));
  const milliseconds deadline = aReader.Milliseconds(
    "deadline_ms", { milliseconds(0), kYear }, milliseconds(0));
  if (deadline.count() > 0) {
    aSpec.mDeadline = deadline;
  }
  aReader.Object("per_task", [&](ObjectReader& aNested) {
    aSpec.mPerTask = ReadPerTask(aNested);
  });
  aSpec.mPayload = aReader.JsonText("payload");
  if (aSpec.mService && aSpec.mNeverRepeat) {
    aReader.Reject("never_repeat",
                   "a service is restarted when it ends, so it cannot be "
                   "marked as never to be repeated");
  }
}

} // namespace

RequestId
RequestIdOf(const TeamId& aTeam, std::string_view aKey)
{
  const std::string text =
    fmt::format("{}:{}:{}", aTeam.mValue.size(), aTeam.mValue, aKey);
  return RequestId(fmt::format(
    "k{:016x}{:016x}", StableHash(text), StableHash(text, kSecondHashSeed)));
}

absl::StatusOr<Submission>
ParseSubmission(std::string_view aBody,
                const std::string& aKey,
                const std::string& aFreshId)
{
  if (aKey.size() > kMaxKeyBytes || !IsPrintable(aKey)) {
    return absl::InvalidArgumentError(
      fmt::format("Idempotency-Key must have from 1 to {} printable characters",
                  kMaxKeyBytes));
  }
  Submission submission{ .mHasKey = !aKey.empty() };
  const absl::Status status = settings::ReadSettingsText(
    aBody, [&](ObjectReader& aReader) { ReadSpec(aReader, submission.mSpec); });
  if (!status.ok()) {
    return status;
  }
  submission.mSpec.mId = aKey.empty()
                           ? RequestId(aFreshId)
                           : RequestIdOf(submission.mSpec.mTeam, aKey);
  return submission;
}

} // namespace oriolevane::gateway
