#include <charconv>
#include <optional>

#include <fmt/format.h>

#include "cli/internal/answercode.h"
#include "cli/internal/apiclient.h"
#include "cli/internal/patchsender.h"
#include "cli/internal/printing.h"
#include "cli/internal/verbs.h"

namespace oriolevane::cli {

using nlohmann::json;
using Operands = std::vector<std::string>;

namespace {

constexpr std::uint64_t kMostWaitMillis = 86'400'000;

void
PrintStatus(std::ostream& aOut, const json& aBody)
{
  PrintRows(aOut,
            json::array({ aBody }),
            { { "REQUEST", "/id" },
              { "OUTCOME", "/outcome" },
              { "REASON", "/reason" },
              { "RETRY_AFTER_MS", "/retry_after_ms" },
              { "DETAIL", "/detail" } });
  if (!CellText(aBody, "/tasks/0/state").empty()) {
    aOut << '\n';
    PrintRows(aOut,
              aBody["tasks"],
              { { "TASK", "/index" },
                { "ATTEMPT", "/attempt" },
                { "STATE", "/state" },
                { "WORKER", "/worker" },
                { "ANSWER", "/answer" },
                { "ANSWER_BASE64", "/answer_base64" } });
  }
}

void
PrintTrail(std::ostream& aOut, const json& aBody)
{
  PrintStatus(aOut, aBody);
  if (aBody.is_object() && aBody.contains("trail")) {
    aOut << '\n';
    PrintRows(aOut,
              aBody["trail"],
              { { "SINCE_SUBMISSION_MS", "/since_submission_ms" },
                { "EVENT", "/event" },
                { "DETAIL", "/detail" } });
  }
}

ExitCode
Submit(const Operands& aOperands,
       const CommandLine& aLine,
       const CliHooks& aHooks)
{
  ExitCode code = ExitCode::Ok;
  std::optional<json> body = ReadJsonFile(aOperands[0], aHooks, code);
  if (!body.has_value()) {
    return code;
  }
  if (aLine.mWait) {
    (*body)["wait"] = true;
  }
  ApiCall call{ .mMethod = "POST",
                .mTarget = "/v1/requests",
                .mBody = body->dump(),
                .mHeaders = { { "Content-Type", "application/json" } },
                .mRepeatable = !aLine.mKey.empty() };
  if (!aLine.mKey.empty()) {
    call.mHeaders["Idempotency-Key"] = aLine.mKey;
  }
  const ApiAnswer answer = CallApi(aLine, aHooks, call);
  code = PrintAnswer(call, answer, aLine, aHooks, PrintStatus);
  const bool waits = body->contains("wait") && (*body)["wait"] == true;
  const bool accepted = CellText(BodyOf(answer), "/outcome") == "pending";
  return accepted && !waits ? ExitCode::Ok : code;
}

std::string
RequestTarget(const std::string& aId)
{
  return "/v1/requests/" + EncodePart(aId);
}

ExitCode
Status(const Operands& aOperands,
       const CommandLine& aLine,
       const CliHooks& aHooks)
{
  ApiCall call{ .mTarget = RequestTarget(aOperands[0]) };
  if (!aLine.mWaitMillis.empty()) {
    std::uint64_t wait = 0;
    const char* end = aLine.mWaitMillis.data() + aLine.mWaitMillis.size();
    const auto read = std::from_chars(aLine.mWaitMillis.data(), end, wait);
    if (read.ec != std::errc() || read.ptr != end || wait > kMostWaitMillis) {
      aHooks.mErr << "--wait_ms must be a whole number up to "
                  << kMostWaitMillis << '\n';
      return ExitCode::Usage;
    }
    call.mTarget += fmt::format("?wait_ms={}", wait);
    call.mTimeout = std::chrono::milliseconds(wait);
  }
  return CallAndPrint(call, aLine, aHooks, PrintStatus);
}

ExitCode
Explain(const Operands& aOperands,
        const CommandLine& aLine,
        const CliHooks& aHooks)
{
  const ApiCall call{ .mTarget = RequestTarget(aOperands[0]) + "/trail" };
  const ApiAnswer answer = CallApi(aLine, aHooks, call);
  const ExitCode code = PrintAnswer(call, answer, aLine, aHooks, PrintTrail);
  return answer.mStatus == 200 ? ExitCode::Ok : code;
}

ExitCode
Cancel(const Operands& aOperands,
       const CommandLine& aLine,
       const CliHooks& aHooks)
{
  const ApiCall call{ .mMethod = "DELETE",
                      .mTarget = RequestTarget(aOperands[0]) };
  const ApiAnswer answer = CallApi(aLine, aHooks, call);
  const ExitCode code = PrintAnswer(call, answer, aLine, aHooks, PrintStatus);
  const bool cancelled = answer.mStatus == 200 && code == ExitCode::Refused;
  return cancelled ? ExitCode::Ok : code;
}

} // namespace

std::vector<Verb>
RequestVerbs()
{
  return {
    { .mName = "submit",
      .mSynopsis = "FILE [--key K] [--wait]",
      .mSummary = "Submit the request in a file (JSON with comments).",
      .mDetails =
        "With --wait (or \"wait\": true in the file) the outcome is waited "
        "for: 0 ran, 3 not run, 4 not known yet. Otherwise 0 says that the "
        "request is accepted. With --key a repeat is the same request, so that "
        "a lost answer is followed by a try at the next address.",
      .mOperands = 1,
      .mRun = Submit },
    { .mName = "status",
      .mSynopsis = "ID [--wait_ms N]",
      .mSummary = "Show what is known of a request.",
      .mDetails = "0 ran, 3 not run, 4 pending or not known yet, 5 no such "
                  "request. With --wait_ms the node waits for a final outcome.",
      .mOperands = 1,
      .mRun = Status },
    { .mName = "cancel",
      .mSynopsis = "ID",
      .mSummary = "Give a request up.",
      .mDetails = "0 when it has a final outcome, 4 while its tasks are still "
                  "being stopped. What ran before stays as it was: see the "
                  "outcome.",
      .mOperands = 1,
      .mRun = Cancel },
    { .mName = "explain",
      .mSynopsis = "ID",
      .mSummary = "Show each decision in the life of a request: when, what, "
                  "where and why.",
      .mOperands = 1,
      .mRun = Explain }
  };
}

} // namespace oriolevane::cli
