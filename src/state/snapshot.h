#ifndef KINGCUPHUB_STATE_SNAPSHOT_H
#define KINGCUPHUB_STATE_SNAPSHOT_H

/// \file
/// Snapshots keep the state of a stream after its first records, so that the
/// log can discard those records.

#include "base/error.h"
#include "base/ids.h"

#include <records.pb.h>
#include <string>

namespace kingcuphub::state {

/// The state of \p Stream after every record before \p Covers.
wire::Snapshot makeSnapshot(const std::string &Stream, base::Offset Covers,
                            std::string State);

/// Fails with BadSnapshot if the state does not match its hash.
base::Result<void> checkSnapshot(const wire::Snapshot &Snapshot);

} // namespace kingcuphub::state

#endif // KINGCUPHUB_STATE_SNAPSHOT_H
