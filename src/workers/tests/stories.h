// The stories of this module's test program.
#pragma once

#include "framework/testing/testgroup.h"

namespace oriolevane::workers {

void
WorkerJsonStory(testing::Section& aStory);

void
WorkerLinkStory(testing::Section& aStory);

void
ReportHandlerStory(testing::Section& aStory);

} // namespace oriolevane::workers
