#include "base/endpoint.h"

#include <asio/ip/address.hpp>
#include <charconv>

namespace kingcuphub::base {

std::string Endpoint::text() const {
  bool Bracketed = this->Address.find(':') != std::string::npos;
  std::string Host = Bracketed ? "[" + this->Address + "]" : this->Address;
  return Host + ":" + std::to_string(this->Port);
}

std::optional<Endpoint> parseEndpoint(std::string_view Text) {
  std::size_t Colon = Text.rfind(':');
  if (Colon == std::string_view::npos)
    return std::nullopt;
  std::string_view Host = Text.substr(0, Colon);
  if (Host.size() > 2 && Host.front() == '[' && Host.back() == ']')
    Host = Host.substr(1, Host.size() - 2);
  std::error_code Failure;
  asio::ip::make_address(std::string(Host), Failure);
  if (Failure)
    return std::nullopt;
  std::string_view PortText = Text.substr(Colon + 1);
  std::uint16_t Port = 0;
  const char *End = PortText.data() + PortText.size();
  auto [Stop, Error] = std::from_chars(PortText.data(), End, Port);
  if (Error != std::errc() || Stop != End)
    return std::nullopt;
  return Endpoint{std::string(Host), Port};
}

Endpoint readEndpoint(SettingsReader &Reader, const std::string &Name,
                      const std::string &Default) {
  std::string Text = Reader.text(Name, Default);
  if (auto Parsed = parseEndpoint(Text))
    return *Parsed;
  Reader.problem(Name, '"' + Text + '"',
                 "write an IP number and a port, as in \"127.0.0.1:0\"");
  return parseEndpoint(Default).value_or(Endpoint{});
}

} // namespace kingcuphub::base
