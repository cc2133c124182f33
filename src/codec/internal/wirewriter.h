// The parts that several messages of a frame share, written into its buffer.
#pragma once

#include <string>
#include <vector>

#include <peer_generated.h>

#include "framework/types/resources.h"
#include "protocol/types/placermessages.h"
#include "protocol/types/taskkey.h"

namespace oriolevane::codec {

using flatbuffers::FlatBufferBuilder;
using flatbuffers::Offset;
using BytesOffset = Offset<flatbuffers::Vector<std::uint8_t>>;
using TextOffset = Offset<flatbuffers::String>;

// Empty texts and bytes are left out.
TextOffset
WriteText(FlatBufferBuilder& aBuilder, const std::string& aText);

BytesOffset
WriteBytes(FlatBufferBuilder& aBuilder, const std::string& aBytes);

Offset<wire::TaskKey>
WriteTask(FlatBufferBuilder& aBuilder, const protocol::TaskKey& aTask);

wire::Route
WriteRoute(const protocol::Route& aRoute);

wire::Resources
WriteAmounts(const Resources& aAmounts);

// Writes each item with aWrite; an empty list is left out.
template<typename Item, typename Write>
auto
WriteList(FlatBufferBuilder& aBuilder,
          const std::vector<Item>& aItems,
          const Write& aWrite)
{
  using Element = decltype(aWrite(aItems.front()));
  Offset<flatbuffers::Vector<Element>> list;
  if (!aItems.empty()) {
    std::vector<Element> elements;
    elements.reserve(aItems.size());
    for (const Item& item : aItems) {
      elements.push_back(aWrite(item));
    }
    list = aBuilder.CreateVector(elements);
  }
  return list;
}

} // namespace oriolevane::codec
