// The platform's table, object store and host list over HTTP with JSON bodies.
// The format is the stand-in's; a platform with another one gets another
// adapter with the same hooks.
#pragma once

#include <chrono>
#include <cstddef>
#include <string>

#include "store/platformhooks.h"

namespace oriolevane::store {

struct HttpPlatformOptions
{
  // IP and port of the platform.
  std::string mAddress;
  std::chrono::milliseconds mConnectTimeout{ 500 };
  // From the start of a request to the last byte of its answer. A connection
  // that is silent for longer is dropped.
  std::chrono::milliseconds mRequestTimeout{ 2000 };
  // Bodies above this are refused in either direction.
  std::size_t mMaxBodyBytes = 64UL * 1024 * 1024;
};

// All hooks share a pool of kept-alive connections, one for each call under
// way. After a failure the idle connections are dropped with the failed one, as
// whatever lost that one may have lost all.
struct HttpPlatform
{
  TableHooks mTable;
  ObjectHooks mObjects;
  HostListHooks mHosts;
};

// The hooks own what they need and outlive the options. kInvalidArgument when
// the address is not IP:port.
absl::StatusOr<HttpPlatform>
ConnectHttpPlatform(const HttpPlatformOptions& aOptions);

} // namespace oriolevane::store
