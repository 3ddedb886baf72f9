#ifndef KINGCUPHUB_BASE_ENDPOINT_H
#define KINGCUPHUB_BASE_ENDPOINT_H

/// \file
/// An IP address with a port, as settings and the configuration write it.

#include "base/settings.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace kingcuphub::base {

/// Where a process listens or is reached; port 0 takes one from the kernel.
struct Endpoint {
  std::string Address = "127.0.0.1";
  std::uint16_t Port = 0;

  /// As in `127.0.0.1:8080`, IPv6 addresses in brackets.
  std::string text() const;
};

/// Reads `ADDRESS:PORT`; nothing if it is not an IP number with a port.
std::optional<Endpoint> parseEndpoint(std::string_view Text);

/// Reads a settings field written as `ADDRESS:PORT`.
Endpoint readEndpoint(SettingsReader &Reader, const std::string &Name,
                      const std::string &Default);

} // namespace kingcuphub::base

#endif // KINGCUPHUB_BASE_ENDPOINT_H
