#include "standins/platform/objectstore.h"

#include <utility>

namespace oriolevane::standins {

void
ObjectStore::Put(const std::string& aName, std::string aBytes)
{
  const std::lock_guard lock(mMutex);
  mObjects[aName] = std::move(aBytes);
}

std::optional<std::string>
ObjectStore::Fetch(const std::string& aName) const
{
  const std::lock_guard lock(mMutex);
  const auto at = mObjects.find(aName);
  if (at == mObjects.end()) {
    return std::nullopt;
  }
  return at->second;
}

void
ObjectStore::Remove(const std::string& aName)
{
  const std::lock_guard lock(mMutex);
  mObjects.erase(aName);
}

} // namespace oriolevane::standins
