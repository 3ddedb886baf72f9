#include "state/snapshot.h"

#include "base/hashing.h"
#include "state/configreducer.h"

#include <utility>

namespace kingcuphub::state {

wire::Snapshot makeSnapshot(const std::string &Stream, base::Offset Covers,
                            std::string State) {
  wire::Snapshot To;
  To.set_stream(Stream);
  To.set_covers(Covers.Value);
  To.set_state_hash(base::secureHash(State));
  To.set_state(std::move(State));
  return To;
}

base::Result<void> checkSnapshot(const wire::Snapshot &Snapshot) {
  if (base::secureHash(Snapshot.state()) == Snapshot.state_hash())
    return {};
  return base::fail(StateErrc::BadSnapshot,
                    "the state in a snapshot of '" + Snapshot.stream() +
                        "' does not match its hash; another snapshot is used");
}

} // namespace kingcuphub::state
