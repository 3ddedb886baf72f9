#include "admission/authorizer.h"

#include "base/hashing.h"

#include <strings.h>

namespace kingcuphub::admission {

namespace {

constexpr std::string_view BearerPrefix = "Bearer ";

std::string textOf(int Code) {
  switch (static_cast<AdmissionErrc>(Code)) {
  case AdmissionErrc::KeyMissing:
    return "no key";
  case AdmissionErrc::KeyUnknown:
    return "unknown key";
  case AdmissionErrc::RateExceeded:
    return "rate exceeded";
  case AdmissionErrc::Overloaded:
    return "no capacity in time";
  case AdmissionErrc::DeadlinePassed:
    return "deadline passed";
  case AdmissionErrc::StateStale:
    return "state not proved fresh";
  }
  return "unknown admission error";
}

const base::EnumCategory Category("admission", textOf);

} // namespace

std::error_code make_error_code(AdmissionErrc Kind) {
  return {static_cast<int>(Kind), Category};
}

std::string_view bearerSecret(std::string_view Authorization) {
  if (Authorization.size() <= BearerPrefix.size() ||
      strncasecmp(Authorization.data(), BearerPrefix.data(),
                  BearerPrefix.size()) != 0)
    return {};
  std::string_view Secret = Authorization.substr(BearerPrefix.size());
  while (!Secret.empty() && Secret.front() == ' ')
    Secret.remove_prefix(1);
  return Secret;
}

base::Result<Caller> authorize(const state::Config &Config,
                               const state::Route *Route,
                               std::string_view Authorization) {
  if (Route != nullptr && Route->OpenToAll)
    return Caller{};
  std::string_view Secret = bearerSecret(Authorization);
  if (Secret.empty())
    return base::fail(AdmissionErrc::KeyMissing,
                      "no key came with the request; send the header "
                      "Authorization: Bearer YOUR-KEY");
  const state::Key *Key =
      state::findKeyByHash(Config, base::secureHash(Secret));
  if (Key == nullptr)
    return base::fail(AdmissionErrc::KeyUnknown,
                      "the key is not known or was withdrawn; ask the "
                      "operator of your client account for a new one");
  auto Account = Config.Accounts.find(Key->Account);
  if (Account == Config.Accounts.end())
    return base::fail(AdmissionErrc::KeyUnknown,
                      "the key's client account no longer exists; ask the "
                      "operator for a new one");
  return Caller{Key->Account, Key->Id, Account->second.Weight};
}

} // namespace kingcuphub::admission
