// Whether the platform's table service answers.
#pragma once

namespace oriolevane::coordination {

// While the store is away, what needs a durable record first is refused.
struct StoreHealth
{
  bool mAvailable = true;
};

} // namespace oriolevane::coordination
