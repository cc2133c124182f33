#include "configuration/configurationstore.h"

#include <optional>
#include <utility>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "configuration/cellpolicyreader.h"
#include "configuration/patchoverlap.h"

namespace oriolevane::configuration {

using nlohmann::json;

namespace {

const std::string kHeadKey = "config/head";
const std::string kVersionsPrefix = "config/versions/";
const std::string kPatchesPrefix = "config/patches/";
constexpr std::size_t kMaxPatchIdBytes = 128;
// More patches between base and head than this are a conflict, rather than read
// one by one.
constexpr std::size_t kMaxRebaseDistance = 256;

std::string
VersionKey(ConfigurationVersion aVersion)
{
  return fmt::format("{}{:020}", kVersionsPrefix, aVersion.mValue);
}

std::optional<json>
ParseObject(const std::string& aText)
{
  json parsed = json::parse(aText, nullptr, false);
  if (!parsed.is_object()) {
    return std::nullopt;
  }
  return parsed;
}

absl::StatusOr<HistoryEntry>
ParseHistoryEntry(const store::TableRow& aRow)
{
  const std::optional<json> row = ParseObject(aRow.mValue);
  if (!row.has_value()) {
    return absl::DataLossError(
      fmt::format("{} is not a history entry", aRow.mKey));
  }
  return HistoryEntry{
    .mVersion = ConfigurationVersion(row->value("version", std::uint64_t{ 0 })),
    .mBase = ConfigurationVersion(row->value("base", std::uint64_t{ 0 })),
    .mPatchId = row->value("patch_id", ""),
    .mAuthor = row->value("author", ""),
    .mPatch = row->value("patch", json::object()).dump()
  };
}

PatchOutcome
Verdict(PatchVerdict aVerdict,
        ConfigurationVersion aVersion,
        std::string aDetail)
{
  return { .mVerdict = aVerdict,
           .mVersion = aVersion,
           .mDetail = std::move(aDetail) };
}

PatchOutcome
Invalid(std::string aDetail)
{
  return Verdict(
    PatchVerdict::Invalid, ConfigurationVersion(), std::move(aDetail));
}

std::optional<PatchOutcome>
CheckShape(const PatchRequest& aRequest, std::size_t aMaxPatchBytes)
{
  if (aRequest.mPatchId.empty() ||
      aRequest.mPatchId.size() > kMaxPatchIdBytes) {
    return Invalid(fmt::format("the patch id must have from 1 to {} bytes",
                               kMaxPatchIdBytes));
  }
  if (aRequest.mPatch.size() > aMaxPatchBytes) {
    return Invalid(
      fmt::format("the patch must have at most {} bytes", aMaxPatchBytes));
  }
  if (!ParseObject(aRequest.mPatch).has_value()) {
    return Invalid("the patch must be a JSON object");
  }
  return std::nullopt;
}

} // namespace

// What the tries of one patch have left undecided.
struct ConfigurationStore::Tries
{
  bool mUndecided = false;
  // Version of the head row that the undecided write is conditional on.
  std::uint64_t mUndecidedRowVersion = 0;
};

struct ConfigurationStore::Head
{
  VersionedBody mNewest;
  // Version of the table row; zero when absent.
  std::uint64_t mRowVersion = 0;
};

ConfigurationStore::ConfigurationStore(store::TableHooks aTable,
                                       ConfigurationStoreOptions aOptions)
  : mTable(std::move(aTable))
  , mOptions(aOptions)
{
}

absl::StatusOr<ConfigurationStore::Head>
ConfigurationStore::ReadHeadRow() const
{
  absl::StatusOr<store::TableRow> row = mTable.mRead(kHeadKey);
  if (!row.ok()) {
    return row.status();
  }
  if (!row->Exists()) {
    return Head{};
  }
  const std::optional<json> head = ParseObject(row->mValue);
  if (!head.has_value() || !head->contains("body") ||
      !head->at("body").is_object()) {
    return absl::DataLossError("config/head is not a configuration");
  }
  return Head{ .mNewest = { ConfigurationVersion(
                              head->value("version", std::uint64_t{ 0 })),
                            head->at("body").dump() },
               .mRowVersion = row->mVersion };
}

absl::StatusOr<VersionedBody>
ConfigurationStore::ReadHead() const
{
  absl::StatusOr<Head> head = ReadHeadRow();
  if (!head.ok()) {
    return head.status();
  }
  return head->mNewest;
}

absl::StatusOr<PatchOutcome>
ConfigurationStore::FindAccepted(const std::string& aPatchId) const
{
  absl::StatusOr<store::TableRow> row = mTable.mRead(kPatchesPrefix + aPatchId);
  if (!row.ok()) {
    return row.status();
  }
  if (!row->Exists()) {
    return absl::NotFoundError("no patch of that id was accepted");
  }
  const std::optional<json> parsed = ParseObject(row->mValue);
  if (!parsed.has_value()) {
    return absl::DataLossError(fmt::format("{} is not a patch", row->mKey));
  }
  return Verdict(
    PatchVerdict::Accepted,
    ConfigurationVersion(parsed->value("version", std::uint64_t{ 0 })),
    "");
}

absl::StatusOr<PatchOutcome>
ConfigurationStore::FindPatch(const std::string& aPatchId) const
{
  absl::StatusOr<PatchOutcome> accepted = FindAccepted(aPatchId);
  if (absl::IsNotFound(accepted.status())) {
    return Verdict(PatchVerdict::NotKnownYet,
                   ConfigurationVersion(),
                   "no patch of that id was accepted so far");
  }
  return accepted;
}

// Accepted patches since the base that touch other members commute with this
// one; an overlap is a conflict.
absl::StatusOr<PatchOutcome>
ConfigurationStore::CheckOverlap(const PatchRequest& aRequest,
                                 const Head& aHead) const
{
  const ConfigurationVersion newest = aHead.mNewest.mVersion;
  if (aRequest.mBase > newest) {
    return Invalid(fmt::format(
      "version {} does not exist; the newest is {}", aRequest.mBase, newest));
  }
  if (newest.mValue - aRequest.mBase.mValue > kMaxRebaseDistance) {
    return Verdict(
      PatchVerdict::Conflict,
      newest,
      fmt::format("the base is more than {} versions old", kMaxRebaseDistance));
  }
  absl::StatusOr<std::vector<HistoryEntry>> since =
    History(aRequest.mBase, kMaxRebaseDistance);
  if (!since.ok()) {
    return since.status();
  }
  const json patch = *ParseObject(aRequest.mPatch);
  for (const HistoryEntry& entry : *since) {
    const std::optional<std::string> overlap =
      FindOverlap(json::parse(entry.mPatch), patch);
    if (overlap.has_value()) {
      return Verdict(
        PatchVerdict::Conflict,
        newest,
        fmt::format("version {} has changed {}", entry.mVersion, *overlap));
    }
  }
  return Verdict(PatchVerdict::Accepted, newest, "");
}

absl::Status
ConfigurationStore::Commit(const PatchRequest& aRequest,
                           const Head& aHead,
                           const std::string& aBody) const
{
  const ConfigurationVersion next(aHead.mNewest.mVersion.mValue + 1);
  const json head{ { "version", next.mValue }, { "body", json::parse(aBody) } };
  const json entry{ { "version", next.mValue },
                    { "base", aRequest.mBase.mValue },
                    { "patch_id", aRequest.mPatchId },
                    { "author", aRequest.mAuthor },
                    { "patch", json::parse(aRequest.mPatch) } };
  const json byId{ { "version", next.mValue } };
  const std::string idKey = kPatchesPrefix + aRequest.mPatchId;
  const store::Transaction transaction{
    .mConditions = { { kHeadKey, aHead.mRowVersion }, { idKey, 0 } },
    .mMutations = { { kHeadKey, head.dump() },
                    { VersionKey(next), entry.dump() },
                    { idKey, byId.dump() } }
  };
  return mTable.mCommit(transaction).status();
}

// Ok: a verdict that is final unless aTries says that an earlier write is
// undecided. Aborted: the head has moved, try again.
absl::StatusOr<PatchOutcome>
ConfigurationStore::TryOnce(const PatchRequest& aRequest, Tries& aTries) const
{
  const absl::StatusOr<Head> head = ReadHeadRow();
  if (!head.ok()) {
    return head.status();
  }
  // An undecided write is conditional on an earlier head; once the head has
  // moved past it, the id below decides.
  if (head->mRowVersion != aTries.mUndecidedRowVersion) {
    aTries.mUndecided = false;
  }
  absl::StatusOr<PatchOutcome> earlier = FindAccepted(aRequest.mPatchId);
  if (earlier.ok() || !absl::IsNotFound(earlier.status())) {
    return earlier;
  }
  absl::StatusOr<PatchOutcome> check = CheckOverlap(aRequest, *head);
  if (!check.ok() || check->mVerdict != PatchVerdict::Accepted) {
    return check;
  }
  json body = json::parse(head->mNewest.mBody);
  body.merge_patch(*ParseObject(aRequest.mPatch));
  const std::string text = body.dump();
  const ConfigurationVersion next(head->mNewest.mVersion.mValue + 1);
  const absl::Status valid = ParseCellPolicy(text, next).status();
  if (!valid.ok() || text.size() > mOptions.mMaxBodyBytes) {
    return Invalid(valid.ok() ? "the configuration would be too large"
                              : std::string(valid.message()));
  }
  const absl::Status committed = Commit(aRequest, *head, text);
  if (absl::IsDeadlineExceeded(committed)) {
    aTries.mUndecided = true;
    aTries.mUndecidedRowVersion = head->mRowVersion;
  }
  if (!committed.ok()) {
    return committed;
  }
  return Verdict(PatchVerdict::Accepted, next, "");
}

PatchOutcome
ConfigurationStore::ApplyPatch(const PatchRequest& aRequest) const
{
  const std::optional<PatchOutcome> refused =
    CheckShape(aRequest, mOptions.mMaxPatchBytes);
  if (refused.has_value()) {
    return *refused;
  }
  Tries tries;
  std::string lastError;
  for (std::size_t attempt = 0; attempt < mOptions.mMaxTries; ++attempt) {
    const absl::StatusOr<PatchOutcome> outcome = TryOnce(aRequest, tries);
    if (outcome.ok() &&
        (!tries.mUndecided || outcome->mVerdict == PatchVerdict::Accepted)) {
      return *outcome;
    }
    lastError =
      outcome.ok() ? outcome->mDetail : std::string(outcome.status().message());
    if (absl::IsUnavailable(outcome.status())) {
      break;
    }
  }
  const PatchVerdict verdict =
    tries.mUndecided ? PatchVerdict::NotKnownYet : PatchVerdict::NotApplied;
  return Verdict(verdict, ConfigurationVersion(), lastError);
}

absl::StatusOr<std::vector<HistoryEntry>>
ConfigurationStore::History(ConfigurationVersion aAfter,
                            std::size_t aMost) const
{
  absl::StatusOr<std::vector<store::TableRow>> rows =
    mTable.mScan(kVersionsPrefix, VersionKey(aAfter), aMost);
  if (!rows.ok()) {
    return rows.status();
  }
  std::vector<HistoryEntry> entries;
  for (const store::TableRow& row : *rows) {
    absl::StatusOr<HistoryEntry> entry = ParseHistoryEntry(row);
    if (!entry.ok()) {
      return entry.status();
    }
    entries.push_back(*std::move(entry));
  }
  return entries;
}

} // namespace oriolevane::configuration
