// The numbered configuration in the platform's table: the head moves by
// compare-and-swap, patch by patch.
//
// Rows: config/head holds the newest version with its whole body,
// config/versions/<n> one accepted patch each, config/patches/<id> the version
// that a patch id made. One transaction writes all three, conditional on the
// head and on the absence of the id, so that a patch is in history once or not
// at all, whatever answers are lost.
#pragma once

#include <chrono>
#include <cstddef>
#include <vector>

#include "absl/status/statusor.h"
#include "configuration/types/historyentry.h"
#include "configuration/types/patchrequest.h"
#include "configuration/types/versionedbody.h"
#include "store/platformhooks.h"

namespace oriolevane::configuration {

struct ConfigurationStoreOptions
{
  // Tries of one patch before it is answered as not known yet.
  std::size_t mMaxTries = 6;
  std::size_t mMaxPatchBytes = 262'144;
  std::size_t mMaxBodyBytes = 4'194'304;
};

// Blocking; safe for any number of threads.
class ConfigurationStore
{
public:
  explicit ConfigurationStore(store::TableHooks aTable,
                              ConfigurationStoreOptions aOptions = {});

  // Version 0 with an empty body when nothing was ever accepted. Errors as of
  // the table hooks.
  absl::StatusOr<VersionedBody> ReadHead() const;

  // Always gives a true verdict; never an error.
  PatchOutcome ApplyPatch(const PatchRequest& aRequest) const;

  // What became of a patch id. NotKnownYet while no row tells; such an id may
  // still come into history.
  absl::StatusOr<PatchOutcome> FindPatch(const std::string& aPatchId) const;

  // The patches accepted after a version, oldest first, at most aMost.
  absl::StatusOr<std::vector<HistoryEntry>> History(ConfigurationVersion aAfter,
                                                    std::size_t aMost) const;

private:
  struct Head;
  struct Tries;
  absl::StatusOr<Head> ReadHeadRow() const;
  absl::StatusOr<PatchOutcome> FindAccepted(const std::string& aPatchId) const;
  absl::StatusOr<PatchOutcome> TryOnce(const PatchRequest& aRequest,
                                       Tries& aTries) const;
  absl::StatusOr<PatchOutcome> CheckOverlap(const PatchRequest& aRequest,
                                            const Head& aHead) const;
  absl::Status Commit(const PatchRequest& aRequest,
                      const Head& aHead,
                      const std::string& aBody) const;

  store::TableHooks mTable;
  ConfigurationStoreOptions mOptions;
};

} // namespace oriolevane::configuration
