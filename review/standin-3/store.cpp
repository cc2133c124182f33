#include "store.h"

#include <algorithm>

namespace review {

namespace {

using nlohmann::json;

// The times that the site files give.
constexpr Millis kTransactionTime{ 10 };
constexpr Millis kReadTime{ 4 };
constexpr std::size_t kMaxRows = 500;

std::string
ToBase64(const std::string& aText)
{
  static const std::string kDigits =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string result;
  for (std::size_t at = 0; at < aText.size(); at += 3) {
    std::uint32_t bits = 0;
    for (std::size_t byte = 0; byte < 3; ++byte) {
      bits = bits << 8U;
      bits |= at + byte < aText.size()
                ? static_cast<unsigned char>(aText[at + byte])
                : 0U;
    }
    for (std::size_t digit = 0; digit < 4; ++digit) {
      result += at + digit <= aText.size()
                  ? kDigits[(bits >> (18U - 6U * digit)) & 63U]
                  : '=';
    }
  }
  return result;
}

std::string
Field(const Request& aRequest, const std::string& aName)
{
  const auto found = aRequest.mQuery.find(aName);
  return found == aRequest.mQuery.end() ? "" : found->second;
}

std::uint64_t
Number(const Request& aRequest, const std::string& aName)
{
  const std::string text = Field(aRequest, aName);
  return text.empty() ? 0 : std::stoull(text);
}

// The tables that only the operator and the workers write.
bool
IsReadOnly(const json& aRow)
{
  const std::string table = aRow.at("table").get<std::string>();
  return table == "op" || table == "servers";
}

} // namespace

Store::Store(Delay aDelay)
  : mDelay(std::move(aDelay))
{
}

void
Store::Put(const std::string& aTable,
           const std::string& aKey,
           const std::string& aText)
{
  mRows[{ aTable, "", aKey }] = { .mValue = ToBase64(aText),
                                  .mVersion = ++mVersion };
  AnswerFeeds();
}

void
Store::Remove(const std::string& aTable, const std::string& aKey)
{
  mRows[{ aTable, "", aKey }] = { .mValue = {},
                                  .mVersion = ++mVersion,
                                  .mDeleted = true };
  AnswerFeeds();
}

void
Store::Handle(const Request& aRequest, const Reply& aReply)
{
  if (aRequest.mPath == "/rows-tx") {
    mDelay(kTransactionTime,
           [this, aRequest, aReply] { Transact(aRequest, aReply); });
  } else if (aRequest.mPath == "/rows-get") {
    mDelay(kReadTime, [this, aRequest, aReply] { aReply(Read(aRequest)); });
  } else if (aRequest.mPath == "/rows-feed") {
    mFeeds.push_back({ .mTable = Field(aRequest, "table"),
                       .mAfter = Number(aRequest, "after"),
                       .mDeadline = Now() + Millis(static_cast<int>(
                                              Number(aRequest, "waitMs"))),
                       .mReply = aReply });
    mDelay(kReadTime, [this] { AnswerFeeds(); });
  } else {
    aReply({ .mStatus = 404, .mBody = "{}" });
  }
}

void
Store::Transact(const Request& aRequest, const Reply& aReply)
{
  const json call = json::parse(aRequest.mBody);
  const auto keyOf = [](const json& aRow) {
    return RowKey(aRow.at("table").get<std::string>(),
                  aRow.value("part", ""),
                  aRow.at("key").get<std::string>());
  };
  json current = json::array();
  bool holds = true;
  for (const json& condition : call.at("expectedRev")) {
    const auto found = mRows.find(keyOf(condition));
    const bool exists = found != mRows.end() && !found->second.mDeleted;
    const std::uint64_t version = exists ? found->second.mVersion : 0;
    holds &= version == condition.at("rowVersion").get<std::uint64_t>();
    if (exists) {
      current.push_back(ToJson(found->first, found->second));
    }
  }
  if (!holds) {
    aReply({ .mStatus = 412,
             .mBody = json{ { "rows", current },
                            { "rowVersion", mVersion },
                            { "nowMs", Now().count() } }
                        .dump() });
    return;
  }
  for (const char* list : { "put", "remove" }) {
    for (const json& row : call.at(list)) {
      if (IsReadOnly(row)) {
        aReply({ .mStatus = 403, .mBody = "{}" });
        return;
      }
    }
  }
  ++mVersion;
  for (const json& row : call.at("put")) {
    mRows[keyOf(row)] = { .mValue = row.at("value").get<std::string>(),
                          .mVersion = mVersion };
  }
  for (const json& row : call.at("remove")) {
    mRows[keyOf(row)] = { .mValue = {},
                          .mVersion = mVersion,
                          .mDeleted = true };
  }
  aReply(
    { .mStatus = 200,
      .mBody = json{ { "rowVersion", mVersion }, { "nowMs", Now().count() } }
                 .dump() });
  AnswerFeeds();
}

json
Store::ToJson(const RowKey& aKey, const Row& aRow) const
{
  const auto& [table, part, key] = aKey;
  json row{ { "table", table },
            { "part", part },
            { "key", key },
            { "rowVersion", aRow.mVersion } };
  if (aRow.mDeleted) {
    row["deleted"] = true;
  } else {
    row["value"] = aRow.mValue;
  }
  return row;
}

Response
Store::Read(const Request& aRequest) const
{
  json rows = json::array();
  bool hasMore = false;
  const std::uint64_t limit = Number(aRequest, "limit");
  const std::size_t most =
    limit == 0 ? kMaxRows : std::min<std::size_t>(limit, kMaxRows);
  const std::string target = Field(aRequest, "target");
  for (const auto& [key, row] : mRows) {
    const auto& [table, part, name] = key;
    if (row.mDeleted || table != Field(aRequest, "table") ||
        part != Field(aRequest, "part") || name < Field(aRequest, "from") ||
        (!target.empty() && name >= target)) {
      continue;
    }
    if (rows.size() == most) {
      hasMore = true;
      break;
    }
    rows.push_back(ToJson(key, row));
  }
  return { .mStatus = 200,
           .mBody = json{ { "rows", rows },
                          { "hasMore", hasMore },
                          { "rowVersion", mVersion },
                          { "nowMs", Now().count() } }
                      .dump() };
}

bool
Store::Answer(const Feed& aFeed) const
{
  std::vector<json> rows;
  for (const auto& [key, row] : mRows) {
    if (std::get<0>(key) == aFeed.mTable && row.mVersion > aFeed.mAfter) {
      rows.push_back(ToJson(key, row));
    }
  }
  if (rows.empty() && Now() < aFeed.mDeadline) {
    return false;
  }
  std::sort(
    rows.begin(), rows.end(), [](const json& aLeft, const json& aRight) {
      return aLeft.at("rowVersion").get<std::uint64_t>() <
             aRight.at("rowVersion").get<std::uint64_t>();
    });
  aFeed.mReply({ .mStatus = 200,
                 .mBody = json{ { "rows", rows },
                                { "rowVersion", mVersion },
                                { "nowMs", Now().count() } }
                            .dump() });
  return true;
}

void
Store::AnswerFeeds()
{
  std::erase_if(mFeeds, [this](const Feed& aFeed) { return Answer(aFeed); });
}

void
Store::Advance()
{
  AnswerFeeds();
}

} // namespace review
