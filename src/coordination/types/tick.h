// Time passed.
#pragma once

namespace oriolevane::coordination {

// Sent about every 50 ms; what is due is done, a bounded amount per tick.
struct Tick
{};

} // namespace oriolevane::coordination
