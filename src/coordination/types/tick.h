// Event: the periodic timer fired.
#pragma once

namespace oriolevane::coordination {

// The node sends one about every 50 ms. Each tick does a bounded amount of the
// work that is due.
struct Tick
{};

} // namespace oriolevane::coordination
