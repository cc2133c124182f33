// The planned stop of this node began.
#pragma once

namespace oriolevane::coordination {

// New requests are refused from now on; accepted ones are finished.
struct DrainBegan
{};

} // namespace oriolevane::coordination
