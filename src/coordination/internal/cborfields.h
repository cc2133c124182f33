// Writes and reads the fields of journal records and snapshots as CBOR arrays.
// Reading checks types and ranges; after the first error all further reads
// fail.
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

// Returns a CBOR byte string, which, unlike a text string, may hold any bytes.
Json
Bytes(std::string_view aValue);
Json
SpecToJson(const protocol::RequestSpec& aSpec);
Json
StatusToJson(const protocol::RequestStatus& aStatus);
std::string
ToCbor(const Json& aJson);
// Returns a discarded value for bytes that are not valid CBOR.
Json
FromCbor(std::string_view aBytes);

// Reads the elements of an array in order. A value that is not an array, a
// field of the wrong type or out of range and a missing field are errors. After
// an error every read returns a default value and Ok is false.
class FieldReader
{
public:
  explicit FieldReader(const Json& aArray);

  bool Ok() const { return mOk; }
  // True when all elements have been read without an error.
  bool Complete() const;
  // Records an error that the caller found.
  void Fail() { mOk = false; }

  // Reads an unsigned integer up to and including aMax.
  std::uint64_t Unsigned(std::uint64_t aMax);
  // Reads an integer into a signed type. Negative values are errors.
  std::int64_t Signed();
  bool Boolean();
  // Reads a byte string.
  std::string ByteString();
  const Json& Array();
  template<typename Number>
  Number Integer()
  {
    return static_cast<Number>(Unsigned(std::numeric_limits<Number>::max()));
  }
  // Reads the number of an enumerator up to and including aLast.
  template<typename Enumeration>
  Enumeration Value(Enumeration aLast)
  {
    return static_cast<Enumeration>(
      Unsigned(static_cast<std::uint64_t>(aLast)));
  }
  // Reads a duration that is not negative.
  std::chrono::milliseconds Milliseconds();
  // As Milliseconds; a null field gives nullopt.
  std::optional<std::chrono::milliseconds> OptionalMilliseconds();

private:
  const Json* Next();

  const Json& mArray;
  std::size_t mPosition = 0;
  bool mOk;
};

protocol::RequestSpec
ReadSpec(FieldReader& aReader);
protocol::RequestStatus
ReadStatus(FieldReader& aReader);

} // namespace oriolevane::coordination::internal
