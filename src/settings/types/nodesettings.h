// What a node reads at its start: its own addresses, where the platform is, and
// its limits.
#pragma once

#include <chrono>
#include <cstdint>
#include <string>

#include "framework/log.h"
#include "framework/types/ids.h"

namespace oriolevane::settings {

struct ListenSettings
{
  // HTTP for callers and operators.
  std::string mCallers;
  // TCP frames between nodes.
  std::string mPeers;
  // HTTP for the reports that workers push.
  std::string mWorkers;
};

struct PlatformSettings
{
  std::string mAddress;
  std::chrono::milliseconds mTimeout{ 2'000 };
  std::chrono::milliseconds mHostListEvery{ 1'000 };
};

struct CellSettings
{
  std::string mName;
  std::uint32_t mRequestPartitions = 16;
  std::uint32_t mWorkerShards = 8;
};

struct LeaseSettings
{
  std::chrono::milliseconds mNodeLease{ 10'000 };
  std::chrono::milliseconds mNodeRenewEvery{ 2'000 };
  std::chrono::milliseconds mTaskLease{ 10'000 };
  std::chrono::milliseconds mWorkerHeartbeatEvery{ 2'000 };
};

struct JournalSettings
{
  // Writes a second that all nodes together may put on the table service.
  double mWriteBudgetPerSecond = 150;
  std::chrono::milliseconds mLeastInterval{ 20 };
};

struct LimitSettings
{
  std::uint64_t mMaxBodyBytes = 1'048'576;
  std::uint32_t mHttpThreads = 256;
  std::uint32_t mMaxConnections = 512;
  std::chrono::milliseconds mCallerTimeout{ 60'000 };
  std::uint32_t mRingCapacity = 16'384;
};

struct NodeSettings
{
  NodeId mNode;
  ZoneId mZone;
  std::string mRegion;
  ListenSettings mListen;
  PlatformSettings mPlatform;
  CellSettings mCell;
  LeaseSettings mLeases;
  JournalSettings mJournal;
  LimitSettings mLimits;
  // After this long a planned stop gives up waiting for requests in flight.
  std::chrono::milliseconds mStopGrace{ 30'000 };
  LogLevel mLogLevel = LogLevel::Info;
};

} // namespace oriolevane::settings
