// The command line: the words after the program's name, and its flags.
#pragma once

#include <chrono>
#include <string>
#include <vector>

namespace oriolevane::cli {

struct CommandLine
{
  // The verb and its operands.
  std::vector<std::string> mWords;
  // IP:PORT of the gateways, tried in this order.
  std::vector<std::string> mAddresses;
  // "table" or "json".
  std::string mOutput = "table";
  // For one try at one address, apart from the time that a verb asks the node
  // to wait.
  std::chrono::milliseconds mTimeout{ 70'000 };
  // Idempotency key of a submission.
  std::string mKey;
  bool mWait = false;
  // Text as typed, so that a wrong number is reported as wrong usage.
  std::string mWaitMillis;
  std::string mBase;
  std::string mPatchId;
  std::string mAfter;
  std::string mAuthor;
};

// Splits at commas; empty parts are left out.
std::vector<std::string>
SplitAddresses(const std::string& aText);

} // namespace oriolevane::cli
