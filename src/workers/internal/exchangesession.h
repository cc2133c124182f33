// One kept-alive HTTP connection to a worker.
#pragma once

#include <cstddef>
#include <memory>
#include <string>

#include <Poco/Net/HTTPClientSession.h>
#include <absl/status/statusor.h>

#include "workers/internal/deadlineguard.h"
#include "workers/types/workeraddress.h"
#include "workers/types/workerlinkoptions.h"

namespace oriolevane::workers {

// Used by one thread at a time.
class ExchangeSession
{
public:
  explicit ExchangeSession(WorkerAddress aAddress);

  const WorkerAddress& Address() const { return mAddress; }

  // Posts aBody and returns the body of the answer. After any fault the
  // connection is closed and the next exchange opens a new one. When the worker
  // had closed a kept connection, the exchange is repeated once on a new one:
  // commands are idempotent.
  absl::StatusOr<std::string> Exchange(const std::string& aBody,
                                       const WorkerLinkOptions& aOptions,
                                       DeadlineGuard& aGuard);

private:
  absl::StatusOr<std::string> Attempt(const std::string& aBody,
                                      const WorkerLinkOptions& aOptions,
                                      DeadlineGuard& aGuard,
                                      TimePoint aDeadline);
  absl::Status Connect(const WorkerLinkOptions& aOptions);
  absl::StatusOr<std::string> PostAndRead(const std::string& aBody,
                                          std::size_t aMaxBodyBytes);

  WorkerAddress mAddress;
  std::unique_ptr<Poco::Net::HTTPClientSession> mSession;
};

} // namespace oriolevane::workers
