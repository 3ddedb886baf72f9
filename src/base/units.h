#ifndef KINGCUPHUB_BASE_UNITS_H
#define KINGCUPHUB_BASE_UNITS_H

/// \file
/// Strong types for the units that limits are counted in.

#include <compare>
#include <cstdint>
#include <ostream>

namespace kingcuphub::base {

/// A signed amount of one unit; \p Tag tells the units apart.
template <typename Tag> struct Amount {
  std::int64_t Value = 0;

  auto operator<=>(const Amount &) const = default;
  Amount operator+(Amount Other) const { return {this->Value + Other.Value}; }
  Amount operator-(Amount Other) const { return {this->Value - Other.Value}; }
  Amount &operator+=(Amount Other) {
    this->Value += Other.Value;
    return *this;
  }
  Amount &operator-=(Amount Other) {
    this->Value -= Other.Value;
    return *this;
  }
  friend std::ostream &operator<<(std::ostream &Out, Amount Value) {
    return Out << Value.Value;
  }
};

/// Prompt and generated tokens of a model.
using Tokens = Amount<struct TokensTag>;
/// Memory of an accelerator.
using Bytes = Amount<struct BytesTag>;
/// Requests that a target may have in flight.
using Slots = Amount<struct SlotsTag>;

/// Tokens that a client account gains a second.
struct TokenRate {
  double PerSecond = 0;
  auto operator<=>(const TokenRate &) const = default;
};

} // namespace kingcuphub::base

#endif // KINGCUPHUB_BASE_UNITS_H
