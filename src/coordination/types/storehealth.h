// Event: the platform's table service became available or unavailable.
#pragma once

namespace oriolevane::coordination {

// While the store is unavailable, the coordinator refuses requests that need a
// durable record before they are answered.
struct StoreHealth
{
  bool mAvailable = true;
};

} // namespace oriolevane::coordination
