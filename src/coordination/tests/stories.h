// The stories of this module's test program.
#pragma once

#include "framework/testing/story.h"

namespace oriolevane::coordination {

void
AdmissionStory(oriolevane::testing::Section& aStory);
void
GangsStory(oriolevane::testing::Section& aStory);
void
PromisesStory(oriolevane::testing::Section& aStory);
void
RandomFaultsStory(oriolevane::testing::Section& aStory);
void
RecoveryStory(oriolevane::testing::Section& aStory);
void
RequestLifeStory(oriolevane::testing::Section& aStory);

} // namespace oriolevane::coordination
