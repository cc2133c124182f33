// Prints answers as tables or as JSON.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "cli/types/apicall.h"
#include "cli/types/clihooks.h"
#include "cli/types/commandline.h"
#include "cli/types/exitcode.h"

namespace oriolevane::cli {

// One column of a table over a list of objects.
struct Column
{
  std::string mHead;
  // JSON pointer into the object, e.g. "/free/slots".
  std::string mPointer;
};

// A text as it is, another value as JSON; empty when there is none.
std::string
CellText(const nlohmann::json& aValue, const std::string& aPointer);

// Columns that are empty in every row are left out, but for the first.
void
PrintRows(std::ostream& aOut,
          const nlohmann::json& aRows,
          const std::vector<Column>& aColumns);

using PrintBody = std::function<void(std::ostream&, const nlohmann::json&)>;

// Prints the answer to a call: a good one with aTable or as JSON, a problem in
// words on the error stream (and as JSON where that is asked for). Returns
// CodeOf the answer.
ExitCode
PrintAnswer(const ApiCall& aCall,
            const ApiAnswer& aAnswer,
            const CommandLine& aLine,
            const CliHooks& aHooks,
            const PrintBody& aTable);

// Makes the call and prints the answer.
ExitCode
CallAndPrint(const ApiCall& aCall,
             const CommandLine& aLine,
             const CliHooks& aHooks,
             const PrintBody& aTable);

} // namespace oriolevane::cli
