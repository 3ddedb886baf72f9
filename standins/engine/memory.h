#ifndef KINGCUPHUB_STANDINS_ENGINE_MEMORY_H
#define KINGCUPHUB_STANDINS_ENGINE_MEMORY_H

/// \file
/// The memory of an engine's accelerators and what is resident in it.

#include "enginesettings.h"

#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

namespace kingcuphub::standin {

/// A model or an adapter in an accelerator's memory; it takes its room from
/// the start of its load to the end of its unload.
struct Resident {
  bool IsAdapter = false;
  /// The model, or the model that an adapter belongs to.
  std::string Model;
  std::string Version;
  std::string Adapter;
  std::size_t Accelerator = 0;
  std::int64_t Bytes = 0;
  /// False while it is being loaded or unloaded.
  bool Ready = false;
};

class Memory {
public:
  explicit Memory(const EngineSettings &Settings);

  bool hasAccelerator(std::size_t Accelerator) const;
  /// Whether callers may use the name of a model or an adapter.
  bool serves(const std::string &Name) const;
  Resident *find(const Resident &Wanted);
  /// Takes the room; false if there is too little.
  bool reserve(const Resident &New);
  /// Frees the room of \p Old, and of a model's adapters with it.
  void release(const Resident &Old);
  const std::vector<std::int64_t> &used() const { return this->Used; }
  const std::vector<std::int64_t> &mostUsed() const { return this->MostUsed; }
  /// The report's `models`, `adapters`, `used_bytes` and `size_bytes`.
  nlohmann::json report() const;

private:
  void releaseWhere(const Resident &Old, bool Adapters);

  std::vector<std::int64_t> Size;
  std::vector<std::int64_t> Used;
  std::vector<std::int64_t> MostUsed;
  std::vector<Resident> Residents;
};

} // namespace kingcuphub::standin

#endif // KINGCUPHUB_STANDINS_ENGINE_MEMORY_H
