// An in-memory object store, the stand-in for the platform's.
#pragma once

#include <map>
#include <mutex>
#include <optional>
#include <string>

namespace oriolevane::standins {

// Thread-safe.
class ObjectStore
{
public:
  void Put(const std::string& aName, std::string aBytes);
  std::optional<std::string> Fetch(const std::string& aName) const;
  void Remove(const std::string& aName);

private:
  mutable std::mutex mMutex;
  std::map<std::string, std::string> mObjects;
};

} // namespace oriolevane::standins
