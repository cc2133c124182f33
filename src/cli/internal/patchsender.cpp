#include "cli/internal/patchsender.h"

#include <fmt/format.h>

#include "cli/internal/answercode.h"
#include "cli/internal/apiclient.h"
#include "cli/internal/printing.h"
#include "settings/boundedjson.h"

namespace oriolevane::cli {

using nlohmann::json;

ExitCode
SendPatch(const json& aPatch,
          std::uint64_t aBase,
          const CommandLine& aLine,
          const CliHooks& aHooks)
{
  const std::string id =
    aLine.mPatchId.empty() ? aHooks.mFreshId() : aLine.mPatchId;
  const ApiCall call{ .mMethod = "PATCH",
                      .mTarget = "/v1/configuration",
                      .mBody = aPatch.dump(),
                      .mHeaders = {
                        { "If-Match", fmt::format("\"{}\"", aBase) },
                        { "Idempotency-Key", id },
                        { "X-Author", aLine.mAuthor },
                        { "Content-Type", "application/merge-patch+json" } } };
  const ExitCode code = CallAndPrint(
    call, aLine, aHooks, [](std::ostream& aOut, const json& aBody) {
      PrintRows(aOut,
                json::array({ aBody }),
                { { "VERDICT", "/verdict" },
                  { "VERSION", "/version" },
                  { "PATCH", "/patch_id" },
                  { "DETAIL", "/detail" } });
    });
  if (code == ExitCode::NotKnownYet) {
    aHooks.mErr << "ask with: oriolevane config patch-status " << id << '\n';
  }
  return code;
}

ExitCode
PatchFromCurrent(const std::function<std::optional<json>(const json&)>& aMake,
                 const CommandLine& aLine,
                 const CliHooks& aHooks)
{
  const ApiCall read{ .mTarget = "/v1/configuration" };
  const ApiAnswer answer = CallApi(aLine, aHooks, read);
  const json current = BodyOf(answer);
  if (CodeOf(read, answer) != ExitCode::Ok) {
    return PrintAnswer(read, answer, aLine, aHooks, nullptr);
  }
  if (!current.is_object() || !current.contains("body") ||
      !current.contains("version") ||
      !current["version"].is_number_unsigned()) {
    aHooks.mErr << "the node's answer is not a configuration\n";
    return ExitCode::NotKnownYet;
  }
  const std::optional<json> patch = aMake(current["body"]);
  if (!patch.has_value()) {
    return ExitCode::NotFound;
  }
  if (patch->empty()) {
    aHooks.mOut << "nothing to change in version " << current["version"]
                << '\n';
    return ExitCode::Ok;
  }
  return SendPatch(
    *patch, current["version"].get<std::uint64_t>(), aLine, aHooks);
}

std::optional<json>
ReadJsonFile(const std::string& aPath, const CliHooks& aHooks, ExitCode& aCode)
{
  const absl::StatusOr<std::string> text = aHooks.mReadFile(aPath);
  if (!text.ok()) {
    aHooks.mErr << text.status().message() << '\n';
    aCode = ExitCode::Usage;
    return std::nullopt;
  }
  absl::StatusOr<json> parsed = settings::ParseBoundedJson(*text);
  if (!parsed.ok()) {
    aHooks.mErr << aPath << ": " << parsed.status().message() << '\n';
    aCode = ExitCode::Invalid;
    return std::nullopt;
  }
  if (!parsed->is_object()) {
    aHooks.mErr << aPath << ": must be one JSON object\n";
    aCode = ExitCode::Invalid;
    return std::nullopt;
  }
  return *std::move(parsed);
}

} // namespace oriolevane::cli
