#ifndef KINGCUPHUB_BASE_VISITOR_H
#define KINGCUPHUB_BASE_VISITOR_H

/// \file
/// A visitor of a std::variant, made of one function for each alternative.

namespace kingcuphub::base {

template <typename... Handlers> struct Visitor : Handlers... {
  using Handlers::operator()...;
};
template <typename... Handlers> Visitor(Handlers...) -> Visitor<Handlers...>;

} // namespace kingcuphub::base

#endif // KINGCUPHUB_BASE_VISITOR_H
