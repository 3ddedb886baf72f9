#include "resolvedrequest.h"

#include <utility>

namespace kingcuphub::forwarding {

namespace {

constexpr int Unauthorized = 401;
constexpr int NotFound = 404;

std::string_view hostName(std::string_view Host) {
  return Host.substr(0, Host.find(':'));
}

} // namespace

std::optional<base::AccountId> ResolvedRequest::limitedAccount() const {
  if (this->Account == nullptr || this->Account->RatePerSecond <= 0)
    return std::nullopt;
  return this->Account->Id;
}

Resolution resolveRequest(catalog::CatalogPtr Catalog,
                          const http::Request &Asked, std::string_view Secret) {
  ResolvedRequest Out;
  Out.Route = Catalog->route(hostName(Asked.header("Host")), Asked.Path);
  if (Out.Route == nullptr || Out.Route->Services.empty())
    return CatalogRejection{NotFound, "no-route", Catalog->Version, {}};
  if (!Out.Route->Public && !Catalog->Accounts.empty()) {
    Out.Account = Catalog->accountOfSecret(Secret);
    if (Out.Account == nullptr)
      return CatalogRejection{Unauthorized, "unknown-key", Catalog->Version,
                              Out.Route->Id};
  }
  Out.Catalog = std::move(Catalog);
  return Out;
}

} // namespace kingcuphub::forwarding
