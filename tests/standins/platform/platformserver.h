// The platform stand-in behind an HTTP server, for its program and for tests
// that run it within their own process.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include <absl/status/statusor.h>

#include "standins/platform/platformservice.h"

namespace oriolevane::standins {

struct PlatformServerOptions
{
  // IP and port; port 0 takes a free one.
  std::string mListen = "127.0.0.1:0";
  std::vector<store::HostEntry> mHosts;
  std::uint64_t mSeed = 1;
};

class PlatformServer
{
public:
  // kUnavailable when the address cannot be listened on.
  static absl::StatusOr<std::unique_ptr<PlatformServer>> Start(
    PlatformServerOptions aOptions);
  PlatformServer(const PlatformServer&) = delete;
  PlatformServer& operator=(const PlatformServer&) = delete;
  // Closes all connections.
  ~PlatformServer();

  // IP and port it listens on.
  std::string Address() const;
  PlatformService& Service() { return *mService; }

private:
  struct Listener;

  PlatformServer();

  std::unique_ptr<PlatformService> mService;
  std::unique_ptr<Listener> mListener;
};

} // namespace oriolevane::standins
