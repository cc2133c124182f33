// What the commands ask of the world.
#pragma once

#include <functional>
#include <ostream>
#include <string>

#include "absl/status/statusor.h"
#include "cli/types/apicall.h"

namespace oriolevane::cli {

struct CliHooks
{
  // Makes one try at one address.
  std::function<ApiAnswer(const std::string&, const ApiCall&)> mSend;
  // NotFound when the file cannot be read.
  std::function<absl::StatusOr<std::string>(const std::string&)> mReadFile;
  // An id that nobody has used, for a patch that was given none.
  std::function<std::string()> mFreshId;
  // Results go to the first, problems to the second.
  std::ostream& mOut;
  std::ostream& mErr;
};

} // namespace oriolevane::cli
