#include "endtoend/nodeusage.h"

#include <fstream>
#include <sstream>
#include <string>

#include <unistd.h>

namespace oriolevane::bench {

using integration::Ask;

namespace {

constexpr double kMiB = 1024.0 * 1024.0;

// Fields 14 and 15 of /proc/<pid>/stat, counted after the name in brackets.
void
AddProcess(pid_t aPid, NodeUsage& aUsage)
{
  std::ifstream stat("/proc/" + std::to_string(aPid) + "/stat");
  std::string text((std::istreambuf_iterator<char>(stat)), {});
  std::istringstream fields(text.substr(text.rfind(')') + 2));
  std::string field;
  constexpr int kUserTime = 12;
  constexpr int kSystemTime = 13;
  double ticks = 0;
  for (int index = 1; fields >> field && index <= kSystemTime; ++index) {
    if (index >= kUserTime) {
      ticks += std::stod(field);
    }
  }
  aUsage.mProcessorTime += std::chrono::duration<double>(
    ticks / static_cast<double>(sysconf(_SC_CLK_TCK)));
  std::ifstream memory("/proc/" + std::to_string(aPid) + "/statm");
  double pages = 0;
  double resident = 0;
  memory >> pages >> resident;
  aUsage.mResidentMiB +=
    resident * static_cast<double>(sysconf(_SC_PAGESIZE)) / kMiB;
}

void
AddTraffic(const std::string& aMetrics, NodeUsage& aUsage)
{
  std::istringstream lines(aMetrics);
  std::string line;
  while (std::getline(lines, line)) {
    if (!line.starts_with("oriolevane_peer_bytes{") ||
        line.find("direction=\"out\"") == std::string::npos) {
      continue;
    }
    const double bytes = std::stod(line.substr(line.rfind(' ') + 1));
    aUsage.mPeerBytesOut += bytes;
    const bool isControl = line.find("kind=\"control\"") != std::string::npos ||
                           line.find("heartbeat") != std::string::npos;
    aUsage.mControlBytesOut += isControl ? bytes : 0;
  }
}

} // namespace

NodeUsage
Measure(const integration::Cell& aCell)
{
  NodeUsage usage;
  for (int node = 0; node < aCell.NodeCount(); ++node) {
    AddProcess(aCell.Pid(node), usage);
    AddTraffic(
      Ask({ .mAddress = aCell.NodeAddress(node), .mPath = "/metrics" }).mBody,
      usage);
  }
  const nlohmann::json statistics =
    Ask({ .mAddress = aCell.PlatformAddress(), .mPath = "/control/statistics" })
      .Json();
  if (statistics.is_object()) {
    usage.mStoreWrites = statistics.value("rows_written", 0.0) +
                         statistics.value("transactions", 0.0);
  }
  return usage;
}

} // namespace oriolevane::bench
