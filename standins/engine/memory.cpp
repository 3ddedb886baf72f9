#include "memory.h"

#include <algorithm>

namespace kingcuphub::standin {

Memory::Memory(const EngineSettings &Settings)
    : Size(Settings.AcceleratorBytes), Used(Size.size(), 0),
      MostUsed(Size.size(), 0) {
  for (const ResidentModel &Each : Settings.Models)
    this->reserve({false, Each.Model, Each.Version, "", Each.Accelerator,
                   Each.Bytes, true});
  for (const ResidentAdapter &Each : Settings.Adapters)
    this->reserve({true, Each.Model, "", Each.Adapter, Each.Accelerator,
                   Each.Bytes, true});
}

bool Memory::hasAccelerator(std::size_t Accelerator) const {
  return Accelerator < this->Size.size();
}

bool Memory::serves(const std::string &Name) const {
  return std::any_of(this->Residents.begin(), this->Residents.end(),
                     [&Name](const Resident &Each) {
                       return Each.Ready &&
                              (Each.IsAdapter ? Each.Adapter : Each.Model) ==
                                  Name;
                     });
}

Resident *Memory::find(const Resident &Wanted) {
  auto Found = std::find_if(
      this->Residents.begin(), this->Residents.end(),
      [&Wanted](const Resident &Each) {
        return Each.IsAdapter == Wanted.IsAdapter &&
               Each.Model == Wanted.Model && Each.Adapter == Wanted.Adapter &&
               Each.Accelerator == Wanted.Accelerator &&
               (Wanted.Version.empty() || Each.Version == Wanted.Version);
      });
  return Found == this->Residents.end() ? nullptr : &*Found;
}

bool Memory::reserve(const Resident &New) {
  std::int64_t &UsedHere = this->Used[New.Accelerator];
  if (UsedHere + New.Bytes > this->Size[New.Accelerator])
    return false;
  UsedHere += New.Bytes;
  std::int64_t &Most = this->MostUsed[New.Accelerator];
  Most = std::max(Most, UsedHere);
  this->Residents.push_back(New);
  return true;
}

void Memory::release(const Resident &Old) {
  if (!Old.IsAdapter)
    this->releaseWhere(Old, true);
  this->releaseWhere(Old, Old.IsAdapter);
}

void Memory::releaseWhere(const Resident &Old, bool Adapters) {
  auto Matches = [this, &Old, Adapters](const Resident &Each) {
    bool Same = Each.IsAdapter == Adapters && Each.Model == Old.Model &&
                Each.Accelerator == Old.Accelerator &&
                (!Old.IsAdapter || Each.Adapter == Old.Adapter) &&
                (Adapters || Each.Version == Old.Version);
    if (Same)
      this->Used[Each.Accelerator] -= Each.Bytes;
    return Same;
  };
  std::erase_if(this->Residents, Matches);
}

nlohmann::json Memory::report() const {
  nlohmann::json Out = {{"models", nlohmann::json::array()},
                        {"adapters", nlohmann::json::array()},
                        {"used_bytes", this->Used},
                        {"size_bytes", this->Size}};
  for (const Resident &Each : this->Residents) {
    if (!Each.Ready)
      continue;
    nlohmann::json Item = {{"model", Each.Model},
                           {"accelerator", Each.Accelerator},
                           {"bytes", Each.Bytes}};
    Item[Each.IsAdapter ? "adapter" : "version"] =
        Each.IsAdapter ? Each.Adapter : Each.Version;
    Out[Each.IsAdapter ? "adapters" : "models"].push_back(std::move(Item));
  }
  return Out;
}

} // namespace kingcuphub::standin
