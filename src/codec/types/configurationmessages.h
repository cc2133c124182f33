// How a node fetches a configuration version from a peer that holds it.
#pragma once

#include <string>

#include "framework/types/ids.h"

namespace oriolevane::codec {

struct ConfigurationPull
{
  ConfigurationVersion mVersion;

  bool operator==(const ConfigurationPull&) const = default;
};

struct ConfigurationBody
{
  ConfigurationVersion mVersion;
  std::string mBytes;

  bool operator==(const ConfigurationBody&) const = default;
};

} // namespace oriolevane::codec
