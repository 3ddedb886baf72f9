#ifndef KINGCUPHUB_STATE_INTERNAL_CONFIGWIRE_H
#define KINGCUPHUB_STATE_INTERNAL_CONFIGWIRE_H

/// \file
/// Converts between configuration objects and their protobuf messages. A parse
/// function returns an error message with a remedy, or nothing on success.

#include "state/config.h"

#include <records.pb.h>

namespace kingcuphub::state {

using ValidationError = std::optional<std::string>;

ValidationError parse(const wire::AccountPut &From, Account &To);
ValidationError parse(const wire::KeyPut &From, Key &To);
ValidationError parse(const wire::TargetPut &From, Target &To);
ValidationError parse(const wire::RoutePut &From, Route &To);
ValidationError parse(const wire::ModelPut &From, Model &To);
std::optional<Preset> parse(wire::Preset From);

wire::AccountPut toWire(const Account &From);
wire::KeyPut toWire(const Key &From);
wire::TargetPut toWire(const Target &From);
wire::RoutePut toWire(const Route &From);
wire::ModelPut toWire(const Model &From);
wire::Preset toWire(Preset From);

} // namespace kingcuphub::state

#endif // KINGCUPHUB_STATE_INTERNAL_CONFIGWIRE_H
