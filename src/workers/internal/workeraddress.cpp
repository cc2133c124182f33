#include "workers/types/workeraddress.h"

#include <algorithm>

#include <fmt/format.h>

namespace oriolevane::workers {

absl::StatusOr<WorkerAddress>
ParseWorkerAddress(std::string_view aText)
{
  const auto isPlain = [](char aByte) { return aByte > ' ' && aByte < 0x7f; };
  const std::size_t slash = std::min(aText.find('/'), aText.size());
  const std::string_view host = aText.substr(0, slash);
  std::string_view path = aText.substr(slash);
  while (path.ends_with('/')) {
    path.remove_suffix(1);
  }
  const std::size_t colon = host.rfind(':');
  if (colon == std::string_view::npos || colon == 0 ||
      colon + 1 == host.size() ||
      !std::all_of(aText.begin(), aText.end(), isPlain)) {
    return absl::InvalidArgumentError(
      fmt::format("not a worker address: {}", aText));
  }
  return WorkerAddress{ .mHost = std::string(host),
                        .mPath = std::string(path) };
}

} // namespace oriolevane::workers
