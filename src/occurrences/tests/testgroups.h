// Tests of the occurrences of repeated jobs.
#pragma once

#include "framework/testing/testgroup.h"

namespace oriolevane {

void
OccurrenceWindowTests(testing::Section& aRoot);

} // namespace oriolevane
