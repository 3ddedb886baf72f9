#include "state/config.h"

#include "base/hashing.h"

namespace kingcuphub::state {

std::string_view presetName(Preset Value) {
  switch (Value) {
  case Preset::Ordinary:
    return "ordinary";
  case Preset::Peak:
    return "peak";
  case Preset::Maintenance:
    return "maintenance";
  }
  return "ordinary";
}

std::optional<Preset> parsePreset(std::string_view Name) {
  for (Preset Each : {Preset::Ordinary, Preset::Peak, Preset::Maintenance})
    if (presetName(Each) == Name)
      return Each;
  return std::nullopt;
}

const Key *findKeyByHash(const Config &State, std::string_view SecretHash) {
  const Key *Found = nullptr;
  for (const auto &[Id, Each] : State.Keys)
    if (base::equalConstantTime(Each.SecretHash, SecretHash))
      Found = &Each;
  return Found;
}

const Route *findRoute(const Config &State, std::string_view Path) {
  const Route *Best = nullptr;
  for (const auto &[Id, Each] : State.Routes)
    if (Path.substr(0, Each.PathPrefix.size()) == Each.PathPrefix)
      if (Best == nullptr || Each.PathPrefix.size() > Best->PathPrefix.size())
        Best = &Each;
  return Best;
}

} // namespace kingcuphub::state
