// Counts the members of an aggregate at compile time. A static_assert on the
// count breaks the build when a message gains a field that its codecs do not
// handle yet.
#pragma once

#include <cstddef>
#include <optional>
#include <type_traits>
#include <utility>

namespace oriolevane {

namespace detail {

template<typename Type>
struct IsOptional : std::false_type
{
};
template<typename Value>
struct IsOptional<std::optional<Value>> : std::true_type
{
};

// Converts implicitly to the type of any member. The conversion to
// std::optional is left out: with it the initialisation of an optional would be
// ambiguous, as the optional's own constructor accepts this type too.
struct AnyMember
{
  template<typename Type>
  requires(!IsOptional<Type>::value) operator Type() const;
};

// True when Struct can be initialised with one value for each index.
template<typename Struct, std::size_t... Indexes>
constexpr bool
AcceptsInitializers(std::index_sequence<Indexes...>)
{
  return requires
  {
    Struct{ (static_cast<void>(Indexes), AnyMember())... };
  };
}

} // namespace detail

// Returns the largest number of values that the aggregate can be initialised
// with, which is its number of members.
template<typename Struct, std::size_t Count = 0>
constexpr std::size_t
FieldCount()
{
  if constexpr (detail::AcceptsInitializers<Struct>(
                  std::make_index_sequence<Count + 1>())) {
    return FieldCount<Struct, Count + 1>();
  } else {
    return Count;
  }
}

} // namespace oriolevane
