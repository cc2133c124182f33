// The command line for callers and operators; "oriolevane help" tells more.
#include <cstdint>
#include <iostream>
#include <random>

#include <fmt/format.h>
#include <gflags/gflags.h>

#include "cli/commandrunner.h"
#include "cli/httptransport.h"
#include "settings/nodesettingsreader.h"

DEFINE_string(address,
              "127.0.0.1:8080",
              "IP:PORT of the gateways, comma-separated; tried in order");
DEFINE_string(output, "table", "table or json");
DEFINE_int64(timeout_ms, 70'000, "For one try at one address");
DEFINE_string(key, "", "submit: idempotency key");
DEFINE_bool(wait, false, "submit: wait for the outcome");
DEFINE_string(wait_ms, "", "status: let the node wait for a final outcome");
DEFINE_string(base, "", "config apply: version that the patch is made against");
DEFINE_string(patch_id, "", "Id of a patch; made when none is given");
DEFINE_string(author, "", "Who changes the configuration; kept in history");
DEFINE_string(after, "", "config history: only versions after this one");
DECLARE_bool(help);

namespace {

std::string
FreshPatchId()
{
  std::random_device device;
  return fmt::format("cli-{:08x}{:08x}", device(), device());
}

oriolevane::cli::CommandLine
ReadCommandLine(int aCount, char** aArguments)
{
  oriolevane::cli::CommandLine line{
    .mWords = { aArguments + 1, aArguments + aCount },
    .mAddresses = oriolevane::cli::SplitAddresses(FLAGS_address),
    .mOutput = FLAGS_output,
    .mTimeout = std::chrono::milliseconds(FLAGS_timeout_ms),
    .mKey = FLAGS_key,
    .mWait = FLAGS_wait,
    .mWaitMillis = FLAGS_wait_ms,
    .mBase = FLAGS_base,
    .mPatchId = FLAGS_patch_id,
    .mAfter = FLAGS_after,
    .mAuthor = FLAGS_author
  };
  if (FLAGS_help) {
    line.mWords.insert(line.mWords.begin(), "help");
  }
  return line;
}

} // namespace

int
main(int aCount, char** aArguments)
{
  gflags::ParseCommandLineNonHelpFlags(&aCount, &aArguments, true);
  const oriolevane::cli::CliHooks hooks{ .mSend = oriolevane::cli::SendOverHttp,
                                         .mReadFile =
                                           oriolevane::settings::ReadTextFile,
                                         .mFreshId = FreshPatchId,
                                         .mOut = std::cout,
                                         .mErr = std::cerr };
  return static_cast<int>(
    oriolevane::cli::RunCommand(ReadCommandLine(aCount, aArguments), hooks));
}
