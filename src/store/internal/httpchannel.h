// Request and answer over pooled HTTP connections to one address.
#pragma once

#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/SocketAddress.h>
#include <absl/status/statusor.h>

#include "framework/types/timepoint.h"
#include "store/httpplatform.h"

namespace oriolevane::store {

struct HttpCall
{
  std::string mMethod;
  // Path and query, already escaped.
  std::string mTarget;
  std::string mBody;
};

struct HttpAnswer
{
  int mStatus = 0;
  std::string mBody;
};

// Thread-safe. Each call takes an idle connection or opens one.
class HttpChannel
{
public:
  HttpChannel(const HttpPlatformOptions& aOptions,
              const Poco::Net::SocketAddress& aAddress);

  // kUnavailable when nothing was sent, kDeadlineExceeded when the request may
  // have arrived but no whole answer came, kResourceExhausted for a body above
  // the limit.
  absl::StatusOr<HttpAnswer> Exchange(const HttpCall& aCall);

private:
  // Opens its connection apart from sending, so that a failure to connect is
  // told from a failure after the request may have left.
  class Session : public Poco::Net::HTTPClientSession
  {
  public:
    using HTTPClientSession::HTTPClientSession;
    void Connect();
  };

  absl::StatusOr<std::unique_ptr<Session>> TakeSession();
  void GiveBack(std::unique_ptr<Session> aSession);
  void DropIdle();
  absl::StatusOr<HttpAnswer> SendAndReceive(Session& aSession,
                                            const HttpCall& aCall) const;
  absl::StatusOr<std::string> ReadBody(std::istream& aStream,
                                       std::int64_t aExpected,
                                       TimePoint aDeadline) const;

  const HttpPlatformOptions mOptions;
  const Poco::Net::SocketAddress mAddress;
  std::mutex mMutex;
  std::vector<std::unique_ptr<Session>> mIdle;
};

} // namespace oriolevane::store
