#ifndef KINGCUPHUB_BASE_IDS_H
#define KINGCUPHUB_BASE_IDS_H

/// \file
/// Strong types for the identifiers that pass between modules. Two ids of
/// different kinds never compare or convert.

#include <compare>
#include <cstdint>
#include <functional>
#include <ostream>
#include <string>

namespace kingcuphub::base {

/// A textual identifier; \p Tag tells the kinds apart.
template <typename Tag> struct TextId {
  std::string Value;

  auto operator<=>(const TextId &) const = default;
  bool empty() const { return this->Value.empty(); }
  friend std::ostream &operator<<(std::ostream &Out, const TextId &Id) {
    return Out << Id.Value;
  }
};

/// A numeric identifier or sequence; \p Tag tells the kinds apart.
template <typename Tag> struct NumberId {
  std::uint64_t Value = 0;

  auto operator<=>(const NumberId &) const = default;
  friend std::ostream &operator<<(std::ostream &Out, const NumberId &Id) {
    return Out << Id.Value;
  }
};

/// A client account, as operators name it.
using AccountId = TextId<struct AccountTag>;
/// The public name of a key; never its secret.
using KeyId = TextId<struct KeyTag>;
/// A back end: a model engine or a plain service.
using TargetId = TextId<struct TargetTag>;
/// One of the system's own instances, named by its peer address.
using InstanceId = TextId<struct InstanceTag>;
/// An availability zone.
using ZoneId = TextId<struct ZoneTag>;
/// A model, as callers name it.
using ModelId = TextId<struct ModelTag>;
/// An adapter of a model.
using AdapterId = TextId<struct AdapterTag>;
/// A configured route.
using RouteId = TextId<struct RouteTag>;
/// One caller's request, unique in the deployment.
using RequestId = TextId<struct RequestTag>;
/// A log record, unique in the deployment.
using RecordId = TextId<struct RecordTag>;
/// A quantity whose sum over all instances is limited.
using QuantityId = TextId<struct QuantityTag>;

/// A position in one stream of the platform's log; the first record is 0.
using Offset = NumberId<struct OffsetTag>;
/// One life of a process at an address; later lives have larger numbers.
using Incarnation = NumberId<struct IncarnationTag>;
/// The number of an epoch, rising by one.
using EpochNumber = NumberId<struct EpochTag>;

} // namespace kingcuphub::base

template <typename Tag> struct std::hash<kingcuphub::base::TextId<Tag>> {
  std::size_t operator()(const kingcuphub::base::TextId<Tag> &Id) const {
    return std::hash<std::string>()(Id.Value);
  }
};

template <typename Tag> struct std::hash<kingcuphub::base::NumberId<Tag>> {
  std::size_t operator()(const kingcuphub::base::NumberId<Tag> &Id) const {
    return std::hash<std::uint64_t>()(Id.Value);
  }
};

#endif // KINGCUPHUB_BASE_IDS_H
