#include "store/platformhooks.h"

#include <iterator>
#include <utility>

namespace oriolevane::store {

absl::StatusOr<std::vector<TableRow>>
ScanAll(const TableHooks& aTable,
        const std::string& aPrefix,
        std::size_t aPageSize,
        std::size_t aMostRows)
{
  std::vector<TableRow> rows;
  std::string after;
  while (true) {
    auto page = aTable.mScan(aPrefix, after, aPageSize);
    if (!page.ok()) {
      return page.status();
    }
    const bool last = page->size() < aPageSize;
    std::move(page->begin(), page->end(), std::back_inserter(rows));
    if (rows.size() > aMostRows) {
      return absl::ResourceExhaustedError("too many rows below " + aPrefix);
    }
    if (last) {
      return rows;
    }
    after = rows.back().mKey;
  }
}

} // namespace oriolevane::store
