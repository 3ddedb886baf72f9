#include "agent/part.h"
#include "peerpart.h"
#include "placementpart.h"

namespace kingcuphub::agent {

std::vector<std::unique_ptr<AgentPart>> makeParts(AgentContext &Context) {
  std::vector<std::unique_ptr<AgentPart>> Parts;
  Parts.push_back(std::make_unique<PeerPart>(Context));
  Parts.push_back(std::make_unique<PlacementPart>(Context));
  return Parts;
}

} // namespace kingcuphub::agent
