// An operator's patch and what became of it.
#pragma once

#include <cstdint>
#include <string>

#include "framework/types/ids.h"

namespace oriolevane::configuration {

// A JSON merge patch (RFC 7396) against a version. The id is chosen by the
// operator, or made for it; the same id always gets the same answer.
struct PatchRequest
{
  std::string mPatchId;
  ConfigurationVersion mBase;
  std::string mAuthor;
  // JSON, without comments.
  std::string mPatch;
};

enum class PatchVerdict : std::uint8_t
{
  // In history, under mVersion.
  Accepted,
  // Surely not in history: another patch since the base touches the same
  // member.
  Conflict,
  // Surely not in history: the result would not be a valid configuration, or
  // the base is not in history.
  Invalid,
  // Surely not in history: the store is away.
  NotApplied,
  // May still come into history; ask for it by its id.
  NotKnownYet
};

struct PatchOutcome
{
  PatchVerdict mVerdict = PatchVerdict::NotKnownYet;
  // The version that the patch made; for a conflict the version now at the
  // head.
  ConfigurationVersion mVersion;
  std::string mDetail;
};

} // namespace oriolevane::configuration
