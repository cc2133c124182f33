// The actions that a coordinator returns for its node to carry out.
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
