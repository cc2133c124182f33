// One numbered configuration version as it travels and is stored.
#pragma once

#include <string>

#include "framework/types/ids.h"

namespace oriolevane::configuration {

struct VersionedBody
{
  ConfigurationVersion mVersion;
  // JSON, without comments.
  std::string mBody = "{}";

  bool operator==(const VersionedBody&) const = default;
};

} // namespace oriolevane::configuration
