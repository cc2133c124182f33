// The platform's store, as PROTOCOL.md describes it: rows, transactions and the
// feed of changes. Single-threaded.
#pragma once

#include <map>
#include <string>
#include <tuple>
#include <vector>

#include <nlohmann/json.hpp>

#include "http.h"

namespace review {

class Store
{
public:
  // Runs a function after a delay.
  using Delay = std::function<void(Millis, std::function<void()>)>;

  explicit Store(Delay aDelay);

  // Writes or removes a row of the operator or of a worker.
  void Put(const std::string& aTable,
           const std::string& aKey,
           const std::string& aText);
  void Remove(const std::string& aTable, const std::string& aKey);
  void Handle(const Request& aRequest, const Reply& aReply);
  // Answers the feed calls that have waited long enough.
  void Advance();

private:
  // Table, part and key.
  using RowKey = std::tuple<std::string, std::string, std::string>;
  struct Row
  {
    // Base64.
    std::string mValue;
    std::uint64_t mVersion = 0;
    bool mDeleted = false;
  };
  struct Feed
  {
    std::string mTable;
    std::uint64_t mAfter = 0;
    Millis mDeadline{ 0 };
    Reply mReply;
  };

  void Transact(const Request& aRequest, const Reply& aReply);
  Response Read(const Request& aRequest) const;
  // Returns whether the call is finished.
  bool Answer(const Feed& aFeed) const;
  nlohmann::json ToJson(const RowKey& aKey, const Row& aRow) const;
  void AnswerFeeds();

  Delay mDelay;
  std::map<RowKey, Row> mRows;
  std::uint64_t mVersion = 0;
  std::vector<Feed> mFeeds;
};

} // namespace review
