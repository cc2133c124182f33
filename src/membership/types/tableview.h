// The membership rows as one read of the table gave them.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "framework/types/ids.h"
#include "membership/types/noderow.h"
#include "membership/types/ownershiprow.h"
#include "membership/types/rowref.h"

namespace oriolevane::membership {

template<typename Row>
struct Versioned
{
  Row mRow;
  std::uint64_t mVersion = 0;
};

struct TableView
{
  std::map<NodeId, Versioned<NodeRow>> mNodes;
  std::map<RowRef, Versioned<OwnershipRow>> mOwnership;
  // Rows that exist but cannot be understood. They are left alone.
  std::set<RowRef> mUnreadable;
  std::vector<std::string> mErrors;
};

} // namespace oriolevane::membership
