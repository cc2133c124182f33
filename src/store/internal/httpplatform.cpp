#include "store/httpplatform.h"

#include <memory>
#include <utility>

#include <Poco/Exception.h>
#include <Poco/URI.h>
#include <fmt/format.h>

#include "store/internal/httpchannel.h"
#include "store/tablewire.h"

namespace oriolevane::store {

namespace {

using Channel = std::shared_ptr<HttpChannel>;

constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr int kConflict = 409;
constexpr int kTooLarge = 413;
constexpr int kAway = 503;

std::string
Escape(const std::string& aText)
{
  std::string escaped;
  Poco::URI::encode(aText, "/?#&=+%", escaped);
  return escaped;
}

absl::Status
ToStatus(const HttpAnswer& aAnswer)
{
  const std::string text = fmt::format(
    "platform answered {}: {}", aAnswer.mStatus, aAnswer.mBody.substr(0, 200));
  switch (aAnswer.mStatus) {
    case kOk:
      return absl::OkStatus();
    case kBadRequest:
      return absl::InvalidArgumentError(text);
    case kNotFound:
      return absl::NotFoundError(text);
    case kConflict:
      return absl::AbortedError(text);
    case kTooLarge:
      return absl::ResourceExhaustedError(text);
    case kAway:
      return absl::UnavailableError(text);
    default:
      return absl::DeadlineExceededError(text);
  }
}

absl::StatusOr<std::string>
Call(HttpChannel& aChannel, const HttpCall& aCall)
{
  auto answer = aChannel.Exchange(aCall);
  if (!answer.ok()) {
    return answer.status();
  }
  if (absl::Status status = ToStatus(*answer); !status.ok()) {
    return status;
  }
  return std::move(answer->mBody);
}

// For calls that may be repeated: a kept-alive connection that has gone silent
// or was closed costs one more try on a new one.
absl::StatusOr<std::string>
CallTwice(HttpChannel& aChannel, const HttpCall& aCall)
{
  auto body = Call(aChannel, aCall);
  if (absl::IsDeadlineExceeded(body.status())) {
    return Call(aChannel, aCall);
  }
  return body;
}

absl::StatusOr<CommitResult>
Commit(HttpChannel& aChannel, const Transaction& aTransaction)
{
  auto encoded = EncodeTransaction(aTransaction);
  if (!encoded.ok()) {
    return encoded.status();
  }
  const auto body = Call(aChannel,
                         { .mMethod = "POST",
                           .mTarget = "/table/commit",
                           .mBody = *std::move(encoded) });
  if (!body.ok()) {
    return body.status();
  }
  auto result = DecodeCommitResult(*body);
  if (!result.ok()) {
    return absl::DeadlineExceededError(result.status().message());
  }
  return result;
}

absl::StatusOr<std::vector<TableRow>>
Scan(HttpChannel& aChannel,
     const std::string& aPrefix,
     const std::string& aAfterKey,
     std::size_t aLimit)
{
  auto body = CallTwice(
    aChannel,
    { .mMethod = "GET",
      .mTarget = fmt::format("/table/scan?prefix={}&after={}&limit={}",
                             Escape(aPrefix),
                             Escape(aAfterKey),
                             aLimit) });
  if (!body.ok()) {
    return body.status();
  }
  return DecodeRows(*body);
}

absl::StatusOr<TableRow>
Read(HttpChannel& aChannel, const std::string& aKey)
{
  auto body = CallTwice(
    aChannel,
    { .mMethod = "GET", .mTarget = "/table/row?key=" + Escape(aKey) });
  if (!body.ok()) {
    return body.status();
  }
  auto rows = DecodeRows(*body);
  if (!rows.ok()) {
    return rows.status();
  }
  if (rows->size() != 1 || rows->front().mKey != aKey) {
    return absl::DataLossError("platform answered for another row");
  }
  return std::move(rows->front());
}

HttpCall
ObjectCall(const char* aMethod, const std::string& aName, std::string aBytes)
{
  return { .mMethod = aMethod,
           .mTarget = "/objects?name=" + Escape(aName),
           .mBody = std::move(aBytes) };
}

TableHooks
MakeTable(const Channel& aChannel)
{
  return {
    .mCommit =
      [aChannel](const Transaction& aTransaction) {
        return Commit(*aChannel, aTransaction);
      },
    .mScan =
      [aChannel](const std::string& aPrefix,
                 const std::string& aAfterKey,
                 std::size_t aLimit) {
        return Scan(*aChannel, aPrefix, aAfterKey, aLimit);
      },
    .mRead =
      [aChannel](const std::string& aKey) { return Read(*aChannel, aKey); },
  };
}

ObjectHooks
MakeObjects(const Channel& aChannel)
{
  return {
    .mPut =
      [aChannel](const std::string& aName, const std::string& aBytes) {
        return CallTwice(*aChannel, ObjectCall("PUT", aName, aBytes)).status();
      },
    .mFetch =
      [aChannel](const std::string& aName) {
        return CallTwice(*aChannel, ObjectCall("GET", aName, ""));
      },
    .mRemove =
      [aChannel](const std::string& aName) {
        return CallTwice(*aChannel, ObjectCall("DELETE", aName, "")).status();
      },
  };
}

absl::StatusOr<std::vector<HostEntry>>
ListHosts(HttpChannel& aChannel)
{
  auto body = CallTwice(aChannel, { .mMethod = "GET", .mTarget = "/hosts" });
  if (!body.ok()) {
    return body.status();
  }
  return DecodeHosts(*body);
}

} // namespace

absl::StatusOr<HttpPlatform>
ConnectHttpPlatform(const HttpPlatformOptions& aOptions)
{
  Channel channel;
  try {
    channel = std::make_shared<HttpChannel>(
      aOptions, Poco::Net::SocketAddress(aOptions.mAddress));
  } catch (const Poco::Exception& error) {
    return absl::InvalidArgumentError("not an address of a platform: " +
                                      error.displayText());
  }
  return HttpPlatform{
    .mTable = MakeTable(channel),
    .mObjects = MakeObjects(channel),
    .mHosts = { .mList = [channel] { return ListHosts(*channel); } },
  };
}

} // namespace oriolevane::store
