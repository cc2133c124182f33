#include "cellnode/queuerouter.h"

#include <algorithm>
#include <cctype>

namespace oriolevane::cellnode {

QueueMatch
MatchQueue(const jobs::CellConfiguration& aConfiguration,
           std::string_view aHost,
           std::string_view aPath)
{
  const std::string_view path = aPath.substr(0, aPath.find('?'));
  const jobs::QueuePolicy* best = nullptr;
  for (const jobs::QueuePolicy& queue : aConfiguration.mQueues) {
    const bool matches =
      queue.mHost == aHost && path.starts_with(queue.mPathPrefix);
    if (matches && (best == nullptr ||
                    queue.mPathPrefix.size() > best->mPathPrefix.size())) {
      best = &queue;
    }
  }
  if (best == nullptr) {
    return {};
  }
  return { .mQueue = best,
           .mRest = std::string(path.substr(best->mPathPrefix.size())) };
}

bool
IsJobId(std::string_view aText)
{
  constexpr std::size_t kDigits = 16;
  return aText.size() == kDigits &&
         std::all_of(aText.begin(), aText.end(), [](unsigned char aByte) {
           return std::isxdigit(aByte) != 0;
         });
}

} // namespace oriolevane::cellnode
