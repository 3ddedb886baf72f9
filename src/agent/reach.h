#ifndef KINGCUPHUB_AGENT_REACH_H
#define KINGCUPHUB_AGENT_REACH_H

/// \file
/// How far each live instance has come in the `config` stream.

#include "base/ids.h"

#include <functional>
#include <map>

namespace kingcuphub::agent {

/// The next config offset of each live instance, this one included.
using InstanceOffsets = std::map<base::InstanceId, base::Offset>;

class Reach {
public:
  virtual ~Reach() = default;
  /// Replaces the source; without one only this instance is known.
  virtual void setSource(std::function<InstanceOffsets()> Source) = 0;
  virtual InstanceOffsets offsets() const = 0;
};

} // namespace kingcuphub::agent

#endif // KINGCUPHUB_AGENT_REACH_H
