#include "shares/agreement.h"

#include <algorithm>

namespace kingcuphub::shares {

Agreement::WitnessGroup Agreement::parseWitnesses(const wire::Epoch &From) {
  WitnessGroup Out{{From.number()}, {}};
  for (const wire::Member &Each : From.members())
    if (std::find(From.witnesses().begin(), From.witnesses().end(),
                  Each.instance()) != From.witnesses().end())
      Out.Members.push_back(membership::parseMember(Each));
  return Out;
}

void Agreement::learnEpoch(const wire::Epoch &New, const wire::Epoch &Former) {
  if (this->OpenEpochs.empty() && Former.number() != 0)
    this->OpenEpochs.push_back(parseWitnesses(Former));
  if (this->OpenEpochs.empty() ||
      this->OpenEpochs.back().Number.Value < New.number())
    this->OpenEpochs.push_back(parseWitnesses(New));
}

AgreedVersions Agreement::versionsOfMajority(const WitnessGroup &Of,
                                             const KnownBy &Known) {
  std::vector<std::uint64_t> Epochs;
  std::vector<std::uint64_t> Configs;
  for (const MemberName &Each : Of.Members) {
    AgreedVersions Has = Known(Each).value_or(AgreedVersions{});
    Epochs.push_back(Has.Epoch.Value);
    Configs.push_back(Has.Config.Value);
  }
  if (Epochs.empty())
    return {};
  // The highest value that more than half of the witnesses have reached.
  auto Middle = [](std::vector<std::uint64_t> &All) {
    std::sort(All.begin(), All.end(), std::greater<>());
    return All[All.size() / 2];
  };
  return {{Middle(Epochs)}, {Middle(Configs)}};
}

AgreedVersions Agreement::update(const KnownBy &Known) {
  if (this->OpenEpochs.empty())
    return this->Agreed;
  AgreedVersions Least = versionsOfMajority(this->OpenEpochs.front(), Known);
  for (const WitnessGroup &Each : this->OpenEpochs) {
    AgreedVersions Has = versionsOfMajority(Each, Known);
    Least.Epoch = std::min(Least.Epoch, Has.Epoch);
    Least.Config = std::min(Least.Config, Has.Config);
  }
  Least.Epoch = std::min(Least.Epoch, this->OpenEpochs.back().Number);
  this->Agreed.Epoch = std::max(this->Agreed.Epoch, Least.Epoch);
  this->Agreed.Config = std::max(this->Agreed.Config, Least.Config);
  while (this->OpenEpochs.size() > 1 &&
         this->OpenEpochs[1].Number <= this->Agreed.Epoch)
    this->OpenEpochs.pop_front();
  return this->Agreed;
}

} // namespace kingcuphub::shares
