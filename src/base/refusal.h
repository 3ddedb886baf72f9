#ifndef KINGCUPHUB_BASE_REFUSAL_H
#define KINGCUPHUB_BASE_REFUSAL_H

/// \file
/// What a refusal of units says of other requests for the same quantity.

#include <cstdint>

namespace kingcuphub::base {

/// Whether \p Amount is to be taken as refused too once \p Refused was: one for
/// half as many or fewer may well be met, as an account that lacks a long
/// stream's tokens has those of a short call.
constexpr bool refusalCovers(std::int64_t Refused, std::int64_t Amount) {
  return 2 * Amount > Refused;
}

} // namespace kingcuphub::base

#endif // KINGCUPHUB_BASE_REFUSAL_H
