#include "catalog/catalog.h"

#include "base/hashing.h"

namespace kingcuphub::catalog {

const Route *Catalog::route(std::string_view Host,
                            std::string_view Path) const {
  const Route *Best = nullptr;
  for (const Route &Each : this->Routes) {
    if (Each.Host != Host ||
        Path.substr(0, Each.PathPrefix.size()) != Each.PathPrefix)
      continue;
    if (Best == nullptr || Each.PathPrefix.size() > Best->PathPrefix.size())
      Best = &Each;
  }
  return Best;
}

const Account *Catalog::accountOfSecret(std::string_view Secret) const {
  auto Key = this->AccountByKeyHash.find(keyHash(Secret));
  if (Key == this->AccountByKeyHash.end())
    return nullptr;
  auto Found = this->Accounts.find(Key->second);
  return Found == this->Accounts.end() ? nullptr : &Found->second;
}

const Service *Catalog::service(const ServiceId &Id) const {
  auto Found = this->Services.find(Id);
  return Found == this->Services.end() ? nullptr : &Found->second;
}

std::string keyHash(std::string_view Secret) {
  return base::secureHash(Secret);
}

} // namespace kingcuphub::catalog
