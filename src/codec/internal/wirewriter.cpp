#include "codec/internal/wirewriter.h"

namespace oriolevane::codec {

TextOffset
WriteText(FlatBufferBuilder& aBuilder, const std::string& aText)
{
  return aText.empty() ? TextOffset() : aBuilder.CreateString(aText);
}

BytesOffset
WriteBytes(FlatBufferBuilder& aBuilder, const std::string& aBytes)
{
  if (aBytes.empty()) {
    return {};
  }
  return aBuilder.CreateVector(
    reinterpret_cast<const std::uint8_t*>(aBytes.data()), aBytes.size());
}

Offset<wire::TaskKey>
WriteTask(FlatBufferBuilder& aBuilder, const protocol::TaskKey& aTask)
{
  const TextOffset request = WriteText(aBuilder, aTask.mRequest.mValue);
  return wire::CreateTaskKey(aBuilder, request, aTask.mIndex, aTask.mAttempt);
}

wire::Route
WriteRoute(const protocol::Route& aRoute)
{
  return { aRoute.mPartition.mValue,
           aRoute.mShard.mValue,
           aRoute.mSenderEpoch.mValue,
           aRoute.mSequence };
}

wire::Resources
WriteAmounts(const Resources& aAmounts)
{
  return { aAmounts.mMilliCores,
           aAmounts.mMemoryMiB,
           aAmounts.mAccelerators,
           aAmounts.mSlots };
}

} // namespace oriolevane::codec
