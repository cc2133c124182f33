#include "framework/types/resources.h"

namespace oriolevane {

Resources&
Resources::operator+=(const Resources& aOther)
{
  mMilliCores += aOther.mMilliCores;
  mMemoryMiB += aOther.mMemoryMiB;
  mAccelerators += aOther.mAccelerators;
  mSlots += aOther.mSlots;
  return *this;
}

Resources&
Resources::operator-=(const Resources& aOther)
{
  mMilliCores -= aOther.mMilliCores;
  mMemoryMiB -= aOther.mMemoryMiB;
  mAccelerators -= aOther.mAccelerators;
  mSlots -= aOther.mSlots;
  return *this;
}

bool
Resources::FitsIn(const Resources& aCapacity) const
{
  return mMilliCores <= aCapacity.mMilliCores &&
         mMemoryMiB <= aCapacity.mMemoryMiB &&
         mAccelerators <= aCapacity.mAccelerators && mSlots <= aCapacity.mSlots;
}

bool
Resources::IsNonNegative() const
{
  return Resources{}.FitsIn(*this);
}

} // namespace oriolevane
