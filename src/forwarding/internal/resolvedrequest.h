#ifndef KINGCUPHUB_FORWARDING_INTERNAL_RESOLVEDREQUEST_H
#define KINGCUPHUB_FORWARDING_INTERNAL_RESOLVEDREQUEST_H

/// \file
/// Which route and account a catalog assigns to a request.
///
/// Load pattern: the operator removes routes, keys and accounts while requests
/// wait for tokens or for a target. No I/O and no clock.

#include "catalog/catalog.h"
#include "http/httpmessage.h"

#include <optional>
#include <string_view>
#include <variant>

namespace kingcuphub::forwarding {

/// Route and account point into the catalog: the three are only ever replaced
/// together.
struct ResolvedRequest {
  catalog::CatalogPtr Catalog;
  /// Never null. Has at least one service.
  const catalog::Route *Route = nullptr;
  /// Null if the route is public or the catalog has no accounts.
  const catalog::Account *Account = nullptr;

  /// The account whose limit applies; none if there is no limit.
  std::optional<base::AccountId> limitedAccount() const;
};

/// The catalog does not allow the request.
struct CatalogRejection {
  /// 404 or 401.
  int Status = 0;
  std::string_view Reason;
  /// Of the catalog that rejects.
  catalog::Version Version;
  /// Empty if there is no route.
  base::RouteId Route;
};

using Resolution = std::variant<ResolvedRequest, CatalogRejection>;

/// Looks up the route by host and path of \p Asked, and the account by the
/// \p Secret of its key. \p Catalog must not be null.
Resolution resolveRequest(catalog::CatalogPtr Catalog,
                          const http::Request &Asked, std::string_view Secret);

} // namespace kingcuphub::forwarding

#endif // KINGCUPHUB_FORWARDING_INTERNAL_RESOLVEDREQUEST_H
