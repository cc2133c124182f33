// Where a worker listens.
#pragma once

#include <string>
#include <string_view>

#include <absl/status/statusor.h>

namespace oriolevane::workers {

// From "ip:port" or "ip:port/path".
struct WorkerAddress
{
  // IP and port.
  std::string mHost;
  // Empty, or begins with a slash and does not end with one.
  std::string mPath;

  bool operator==(const WorkerAddress&) const = default;
};

// InvalidArgument when there is no port or a character that may not stand in a
// request line.
absl::StatusOr<WorkerAddress>
ParseWorkerAddress(std::string_view aText);

} // namespace oriolevane::workers
