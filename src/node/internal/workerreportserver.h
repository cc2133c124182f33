// Takes the reports that workers post when a task ends.
#pragma once

#include <chrono>
#include <functional>
#include <memory>
#include <string>

#include "absl/status/statusor.h"
#include "protocol/types/workermessages.h"

namespace oriolevane::node {

class WorkerReportServer
{
public:
  static constexpr std::chrono::milliseconds kRequestLimit{ 10'000 };

  // aOnReport returns false when there is no room; the worker is then told to
  // try again. A request that has not arrived after aRequestLimit, from its
  // first byte on, is cut off.
  static absl::StatusOr<std::unique_ptr<WorkerReportServer>> Start(
    const std::string& aAddress,
    std::function<bool(protocol::WorkerReport)> aOnReport,
    std::chrono::milliseconds aRequestLimit = kRequestLimit);
  ~WorkerReportServer();

  std::string Address() const;

private:
  class Impl;
  explicit WorkerReportServer(std::unique_ptr<Impl> aImpl);
  std::unique_ptr<Impl> mImpl;
};

} // namespace oriolevane::node
