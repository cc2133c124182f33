// One accepted patch, as kept in history.
#pragma once

#include <string>

#include "framework/types/ids.h"

namespace oriolevane::configuration {

struct HistoryEntry
{
  ConfigurationVersion mVersion;
  ConfigurationVersion mBase;
  std::string mPatchId;
  std::string mAuthor;
  std::string mPatch;
};

} // namespace oriolevane::configuration
