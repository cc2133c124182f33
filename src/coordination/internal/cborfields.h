// Writes and reads the fields of journal records and snapshots as CBOR arrays.
// Reading checks kinds and ranges and remembers the first fault.
#pragma once

#include <chrono>
#include <cstdint>
#include <limits>
#include <optional>
#include <string>
#include <string_view>

#include <nlohmann/json.hpp>

#include "protocol/types/requestspec.h"
#include "protocol/types/requeststatus.h"

namespace oriolevane::coordination::internal {

using Json = nlohmann::json;

// Any bytes, not only valid text.
Json
Bytes(std::string_view aValue);
Json
SpecToJson(const protocol::RequestSpec& aSpec);
Json
StatusToJson(const protocol::RequestStatus& aStatus);
std::string
ToCbor(const Json& aJson);
// Discarded on bad bytes.
Json
FromCbor(std::string_view aBytes);

// Takes the elements of an array in order. After a fault every further read
// gives a default value and Good is false.
class FieldReader
{
public:
  explicit FieldReader(const Json& aArray);

  bool Good() const { return mGood; }
  // True when all elements are taken without a fault.
  bool Complete() const;
  void Fail() { mGood = false; }

  std::uint64_t Unsigned(std::uint64_t aMost);
  std::int64_t Signed();
  bool Flag();
  std::string Text();
  const Json& Array();
  template<typename Number>
  Number Integer()
  {
    return static_cast<Number>(Unsigned(std::numeric_limits<Number>::max()));
  }
  template<typename Enumeration>
  Enumeration Value(Enumeration aLast)
  {
    return static_cast<Enumeration>(
      Unsigned(static_cast<std::uint64_t>(aLast)));
  }
  std::chrono::milliseconds Milliseconds();
  std::optional<std::chrono::milliseconds> OptionalMilliseconds();

private:
  const Json* Next();

  const Json& mArray;
  std::size_t mPosition = 0;
  bool mGood;
};

protocol::RequestSpec
ReadSpec(FieldReader& aReader);
protocol::RequestStatus
ReadStatus(FieldReader& aReader);

} // namespace oriolevane::coordination::internal
