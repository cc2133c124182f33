// The node's side of the reports that workers post when a task ends, so that
// answers don't wait for the next command.
#pragma once

#include <cstddef>
#include <functional>

#include <Poco/Net/HTTPRequestHandler.h>

#include "protocol/types/workermessages.h"
#include "workers/types/workerjsonlimits.h"

namespace oriolevane::workers {

// Path on the node that workers post reports to.
constexpr const char* kWorkerReportsPath = "/v1/worker-reports";

// Parses one posted report and gives it to aOnReport, which returns false when
// it has no room; then the worker is told to try again. Answers 204, 400 with
// the path of the bad field, 405, 411, 413 or 503. Made per request, as Poco
// wants.
class ReportHandler : public Poco::Net::HTTPRequestHandler
{
public:
  using OnReport = std::function<bool(protocol::WorkerReport)>;

  explicit ReportHandler(OnReport aOnReport,
                         std::size_t aMaxBodyBytes = kMaxBodyBytes);

  void handleRequest(Poco::Net::HTTPServerRequest& aRequest,
                     Poco::Net::HTTPServerResponse& aResponse) override;

private:
  OnReport mOnReport;
  std::size_t mMaxBodyBytes;
};

} // namespace oriolevane::workers
