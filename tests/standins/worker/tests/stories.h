// The stories of the worker stand-in's test program.
#pragma once

#include "framework/testing/testgroup.h"

namespace oriolevane::standins {

void
WorkerModelStory(testing::Section& aStory);

void
WorkerServerStory(testing::Section& aStory);

} // namespace oriolevane::standins
