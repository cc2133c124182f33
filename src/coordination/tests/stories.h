// The stories of this module's test program.
#pragma once

#include "framework/testing/story.h"

namespace oriolevane::coordination {

void
RequestLifeStory(oriolevane::testing::Section& aStory);

} // namespace oriolevane::coordination
