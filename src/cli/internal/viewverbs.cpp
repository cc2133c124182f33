#include "cli/internal/answercode.h"
#include "cli/internal/printing.h"
#include "cli/internal/texttable.h"
#include "cli/internal/verbs.h"

namespace oriolevane::cli {

using nlohmann::json;
using Operands = std::vector<std::string>;

namespace {

// A verb that shows a list of objects.
Verb
ListVerb(const std::string& aName,
         const std::string& aSummary,
         const std::vector<Column>& aColumns)
{
  return { .mName = aName,
           .mSummary = aSummary,
           .mRun = [aName, aColumns](const Operands&,
                                     const CommandLine& aLine,
                                     const CliHooks& aHooks) {
             return CallAndPrint(
               { .mTarget = "/v1/" + aName },
               aLine,
               aHooks,
               [&](std::ostream& aOut, const json& aBody) {
                 PrintRows(aOut, aBody.value(aName, json::array()), aColumns);
               });
           } };
}

ExitCode
Report(const Operands&, const CommandLine& aLine, const CliHooks& aHooks)
{
  return CallAndPrint({ .mTarget = "/v1/report" }, aLine, aHooks, nullptr);
}

// Asks every address, since each is a node of its own. The highest code counts.
ExitCode
Health(const Operands&, const CommandLine& aLine, const CliHooks& aHooks)
{
  ExitCode worst = ExitCode::Ok;
  json rows = json::array();
  for (const std::string& address : aLine.mAddresses) {
    const ApiCall call{ .mTarget = "/readyz", .mTimeout = aLine.mTimeout };
    const ApiAnswer answer = aHooks.mSend(address, call);
    const json body = BodyOf(answer);
    const ExitCode code = CodeOf(call, answer);
    worst = std::max(worst, code);
    const bool reached = answer.mDelivery == Delivery::Answered;
    rows.push_back(
      { { "address", address },
        { "status",
          code == ExitCode::Ok ? "ready"
          : reached            ? "not_ready"
                               : "unreachable" },
        { "detail", reached ? CellText(body, "/detail") : answer.mError } });
  }
  if (aLine.mOutput == "json") {
    aHooks.mOut << json{ { "health", rows } }.dump(
                     2, ' ', false, json::error_handler_t::replace)
                << '\n';
  } else {
    PrintRows(aHooks.mOut,
              rows,
              { { "ADDRESS", "/address" },
                { "STATUS", "/status" },
                { "DETAIL", "/detail" } });
  }
  return worst;
}

} // namespace

std::vector<Verb>
ViewVerbs()
{
  return {
    ListVerb("nodes",
             "List the nodes as the asked one knows them.",
             { { "NODE", "/node" },
               { "ZONE", "/zone" },
               { "CONFIGURATION", "/configuration_version" },
               { "LEAVING", "/leaving" },
               { "CONNECTED", "/connected" } }),
    ListVerb("shards",
             "List the worker shards with their owners and free capacity.",
             { { "SHARD", "/shard" },
               { "OWNER", "/owner" },
               { "EPOCH", "/epoch" },
               { "READY", "/ready" },
               { "WORKERS", "/workers" },
               { "FREE_SLOTS", "/free/slots" },
               { "SLOTS", "/total/slots" },
               { "FREE_MILLI_CORES", "/free/milli_cores" },
               { "MILLI_CORES", "/total/milli_cores" },
               { "QUEUED", "/queued" },
               { "EXPECTED_WAIT_MS", "/expected_wait_ms" } }),
    ListVerb("workers",
             "List the workers with their capacity.",
             { { "WORKER", "/worker" },
               { "ZONE", "/zone" },
               { "RACK", "/rack" },
               { "LEAVING", "/leaving" },
               { "MILLI_CORES", "/capacity/milli_cores" },
               { "MEMORY_MIB", "/capacity/memory_mib" },
               { "ACCELERATORS", "/capacity/accelerators" },
               { "SLOTS", "/capacity/slots" } }),
    { .mName = "report",
      .mSummary = "Show the report on service-level objectives, as JSON.",
      .mRun = Report },
    { .mName = "health",
      .mSummary = "Show for each address whether its node takes requests.",
      .mDetails = "0 all ready, 3 one is not ready, 7 one cannot be reached.",
      .mRun = Health }
  };
}

} // namespace oriolevane::cli
