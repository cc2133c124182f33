#include "cli/internal/printing.h"

#include <algorithm>

#include "cli/internal/answercode.h"
#include "cli/internal/apiclient.h"
#include "cli/internal/texttable.h"

namespace oriolevane::cli {

using nlohmann::json;

namespace {

constexpr int kLeastError = 400;
constexpr int kIndent = 2;

void
PrintProblem(std::ostream& aErr, const ApiAnswer& aAnswer, const json& aBody)
{
  const std::string title = CellText(aBody, "/title");
  aErr << Printable(title.empty()
                      ? "the node answered " + std::to_string(aAnswer.mStatus)
                      : title);
  const std::vector<Column> parts = { { "type", "/type" },
                                      { "id", "/id" },
                                      { "outcome", "/outcome" },
                                      { "retry after ms", "/retry_after_ms" } };
  for (const Column& part : parts) {
    const std::string text = CellText(aBody, part.mPointer);
    if (!text.empty()) {
      aErr << "\n  " << part.mHead << ": " << Printable(text);
    }
  }
  aErr << '\n';
  std::string detail = CellText(aBody, "/detail");
  while (!detail.empty()) {
    const std::size_t end = std::min(detail.find('\n'), detail.size());
    aErr << "  " << Printable(detail.substr(0, end)) << '\n';
    detail.erase(0, end + 1);
  }
}

void
PrintJson(std::ostream& aOut, const json& aBody)
{
  aOut << aBody.dump(kIndent, ' ', false, json::error_handler_t::replace)
       << '\n';
}

} // namespace

std::string
CellText(const json& aValue, const std::string& aPointer)
{
  const json::json_pointer pointer(aPointer);
  if (!aValue.contains(pointer)) {
    return "";
  }
  const json& cell = aValue.at(pointer);
  if (cell.is_null()) {
    return "";
  }
  return cell.is_string()
           ? cell.get<std::string>()
           : cell.dump(-1, ' ', false, json::error_handler_t::replace);
}

void
PrintRows(std::ostream& aOut,
          const json& aRows,
          const std::vector<Column>& aColumns)
{
  std::vector<Column> shown;
  for (const Column& column : aColumns) {
    const bool filled =
      std::any_of(aRows.begin(), aRows.end(), [&](const json& aRow) {
        return !CellText(aRow, column.mPointer).empty();
      });
    if (filled || shown.empty()) {
      shown.push_back(column);
    }
  }
  std::vector<std::string> heads;
  heads.reserve(shown.size());
  for (const Column& column : shown) {
    heads.push_back(column.mHead);
  }
  TextTable table(std::move(heads));
  for (const json& row : aRows) {
    std::vector<std::string> cells;
    cells.reserve(shown.size());
    for (const Column& column : shown) {
      cells.push_back(CellText(row, column.mPointer));
    }
    table.AddRow(std::move(cells));
  }
  table.Print(aOut);
}

ExitCode
PrintAnswer(const ApiCall& aCall,
            const ApiAnswer& aAnswer,
            const CommandLine& aLine,
            const CliHooks& aHooks,
            const PrintBody& aTable)
{
  const ExitCode code = CodeOf(aCall, aAnswer);
  if (aAnswer.mDelivery != Delivery::Answered) {
    aHooks.mErr << (code == ExitCode::NotKnownYet
                      ? "the answer was lost; whether it took effect is not "
                        "known yet\n"
                      : "no gateway could be reached\n");
    return code;
  }
  const json body = BodyOf(aAnswer);
  if (!body.is_object() && aAnswer.mStatus < kLeastError) {
    aHooks.mErr << "the answer is not a JSON object\n";
    return ExitCode::NotKnownYet;
  }
  if (aLine.mOutput == "json" && !body.is_null()) {
    PrintJson(aHooks.mOut, body);
  }
  if (aAnswer.mStatus >= kLeastError) {
    PrintProblem(aHooks.mErr, aAnswer, body);
  } else if (aLine.mOutput == "table") {
    if (aTable) {
      aTable(aHooks.mOut, body);
    } else {
      PrintJson(aHooks.mOut, body);
    }
  }
  return code;
}

ExitCode
CallAndPrint(const ApiCall& aCall,
             const CommandLine& aLine,
             const CliHooks& aHooks,
             const PrintBody& aTable)
{
  return PrintAnswer(
    aCall, CallApi(aLine, aHooks, aCall), aLine, aHooks, aTable);
}

} // namespace oriolevane::cli
