// The stories of the proxy's test program.
#pragma once

#include "framework/testing/testgroup.h"

namespace oriolevane::faultproxy {

void
ProxyStory(testing::Section& aStory);

} // namespace oriolevane::faultproxy
