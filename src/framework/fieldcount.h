// Counts the members of a plain struct at compile time, so that a message which
// gains a field does not build until its codecs carry it.
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

// Stands for a value of any member's type. An optional would take it in two
// ways, by its own constructor too; that one is enough.
struct AnyMember
{
  template<typename Type>
  requires(!IsOptional<Type>::value) operator Type() const;
};

template<typename Struct, std::size_t... Indexes>
constexpr bool
TakesMembers(std::index_sequence<Indexes...>)
{
  return requires
  {
    Struct{ (static_cast<void>(Indexes), AnyMember())... };
  };
}

} // namespace detail

// The most values that an aggregate can be initialised with.
template<typename Struct, std::size_t Count = 0>
constexpr std::size_t
FieldCount()
{
  if constexpr (detail::TakesMembers<Struct>(
                  std::make_index_sequence<Count + 1>())) {
    return FieldCount<Struct, Count + 1>();
  } else {
    return Count;
  }
}

} // namespace oriolevane
