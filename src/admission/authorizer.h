#ifndef KINGCUPHUB_ADMISSION_AUTHORIZER_H
#define KINGCUPHUB_ADMISSION_AUTHORIZER_H

/// \file
/// Authenticates requests: the API key alone determines the client account.

#include "base/error.h"
#include "state/config.h"

#include <optional>
#include <string_view>

namespace kingcuphub::admission {

enum class AdmissionErrc {
  KeyMissing = 1,
  KeyUnknown,
  RateExceeded,
  Overloaded,
  DeadlinePassed,
  StateStale,
};
std::error_code make_error_code(AdmissionErrc Kind);

/// The caller of an authorized request; has no account on a public route.
struct Caller {
  std::optional<base::AccountId> Account;
  std::optional<base::KeyId> Key;
  /// The account's weight in the fair queue.
  double Weight = 1;
};

/// Returns the secret from an `Authorization: Bearer` header value; empty for
/// any other value.
std::string_view bearerSecret(std::string_view Authorization);

/// Determines the client account of a request on \p Route (null for a request
/// to a model). Fails with KeyMissing or KeyUnknown if the request needs a key
/// and has no valid one.
base::Result<Caller> authorize(const state::Config &Config,
                               const state::Route *Route,
                               std::string_view Authorization);

} // namespace kingcuphub::admission

template <>
struct std::is_error_code_enum<kingcuphub::admission::AdmissionErrc>
    : std::true_type {};

#endif // KINGCUPHUB_ADMISSION_AUTHORIZER_H
