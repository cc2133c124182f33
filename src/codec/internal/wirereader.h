// Checks what a frame's fields hold while they are read.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <absl/status/status.h>
#include <peer_generated.h>

#include "framework/types/resources.h"
#include "protocol/types/placermessages.h"
#include "protocol/types/taskkey.h"
#include "protocol/types/taskstate.h"

namespace oriolevane::codec {

// Remembers the first fault and then returns default values. The buffer must
// have been verified before.
class WireReader
{
public:
  // The texts and bytes of a genuine frame are no longer than the frame; one
  // that refers to the same bytes over and over is refused.
  explicit WireReader(std::size_t aFrameBytes);

  const absl::Status& Result() const { return mResult; }
  void Fail(std::string_view aField, std::string_view aFault);

  // An identifier; must be there and not empty.
  std::string Id(const flatbuffers::String* aText, std::string_view aField);
  // Like Id, but may be missing or empty.
  std::string OptionalId(const flatbuffers::String* aText,
                         std::string_view aField);
  std::string Text(const flatbuffers::String* aText, std::string_view aField);
  std::string Bytes(const flatbuffers::Vector<std::uint8_t>* aBytes,
                    std::string_view aField);
  std::chrono::milliseconds Time(std::int64_t aMilliseconds,
                                 std::string_view aField);
  std::optional<std::chrono::milliseconds> OptionalTime(
    flatbuffers::Optional<std::int64_t> aMilliseconds,
    std::string_view aField);
  Resources Amounts(const wire::Resources* aAmounts, std::string_view aField);
  protocol::Route Route(const wire::Route* aRoute);
  protocol::TaskKey Task(const wire::TaskKey* aTask);
  protocol::TaskState State(std::uint8_t aState);
  std::vector<std::uint32_t> Numbers(
    const flatbuffers::Vector<std::uint32_t>* aNumbers,
    std::string_view aField);

  // An enumeration whose last value is aLast.
  template<typename Enumeration>
  Enumeration Enum(std::uint8_t aValue,
                   Enumeration aLast,
                   std::string_view aField)
  {
    if (aValue > static_cast<std::uint8_t>(aLast)) {
      Fail(aField, "unknown value");
      return Enumeration();
    }
    return static_cast<Enumeration>(aValue);
  }

  // Reads each element of a vector that may be missing.
  template<typename Element, typename Read>
  auto List(const flatbuffers::Vector<Element>* aList,
            std::string_view aField,
            const Read& aRead)
  {
    using Item = decltype(aRead(aList->Get(0)));
    std::vector<Item> items;
    if (aList == nullptr || !CheckCount(aList->size(), aField)) {
      return items;
    }
    items.reserve(aList->size());
    for (flatbuffers::uoffset_t i = 0; i < aList->size() && mResult.ok(); ++i) {
      items.push_back(aRead(aList->Get(i)));
    }
    return items;
  }

private:
  bool CheckCount(std::size_t aCount, std::string_view aField);
  bool Spend(std::size_t aBytes, std::string_view aField);

  std::size_t mBytesLeft;
  absl::Status mResult;
};

} // namespace oriolevane::codec
