// Everything that a coordinator asks its node to do.
#pragma once

#include <variant>

#include "coordination/types/appendrecord.h"
#include "coordination/types/objectivesample.h"
#include "coordination/types/replytocaller.h"
#include "coordination/types/sendtoplacer.h"

namespace oriolevane::coordination {

using CoordinatorAction =
  std::variant<SendToPlacer, AppendRecord, ReplyToCaller, ObjectiveSample>;

} // namespace oriolevane::coordination
