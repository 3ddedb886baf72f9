#include "http/httpmessage.h"

#include <algorithm>
#include <strings.h>
#include <utility>

namespace kingcuphub::http {

namespace {

bool isTokenByte(char Byte) {
  constexpr std::string_view Marks = "!#$%&'*+-.^_`|~";
  return (Byte >= '0' && Byte <= '9') || (Byte >= 'A' && Byte <= 'Z') ||
         (Byte >= 'a' && Byte <= 'z') ||
         Marks.find(Byte) != std::string_view::npos;
}

int hexValue(char Digit) {
  if (Digit >= '0' && Digit <= '9')
    return Digit - '0';
  if (Digit >= 'a' && Digit <= 'f')
    return Digit - 'a' + 10;
  if (Digit >= 'A' && Digit <= 'F')
    return Digit - 'A' + 10;
  return -1;
}

std::string percentDecode(std::string_view Text) {
  std::string Out;
  for (std::size_t Index = 0; Index < Text.size(); ++Index) {
    if (Text[Index] == '%' && Index + 2 < Text.size() &&
        hexValue(Text[Index + 1]) >= 0 && hexValue(Text[Index + 2]) >= 0) {
      Out += static_cast<char>(hexValue(Text[Index + 1]) * 16 +
                               hexValue(Text[Index + 2]));
      Index += 2;
    } else {
      Out += Text[Index] == '+' ? ' ' : Text[Index];
    }
  }
  return Out;
}

} // namespace

bool isToken(std::string_view Text) {
  return !Text.empty() && std::all_of(Text.begin(), Text.end(), isTokenByte);
}

bool equalNames(std::string_view Left, std::string_view Right) {
  return Left.size() == Right.size() &&
         strncasecmp(Left.data(), Right.data(), Left.size()) == 0;
}

std::string_view findHeader(const std::vector<Header> &Headers,
                            std::string_view Name) {
  for (const Header &Each : Headers)
    if (equalNames(Each.Name, Name))
      return Each.Value;
  return {};
}

std::string Request::parameter(std::string_view Name) const {
  std::string_view Rest = this->Query;
  while (!Rest.empty()) {
    std::string_view Pair = Rest.substr(0, Rest.find('&'));
    Rest.remove_prefix(std::min(Rest.size(), Pair.size() + 1));
    std::size_t Equals = Pair.find('=');
    if (Pair.substr(0, Equals) == Name)
      return Equals == std::string_view::npos
                 ? std::string()
                 : percentDecode(Pair.substr(Equals + 1));
  }
  return {};
}

Response jsonResponse(int Status, std::string Body) {
  return {Status, {{"Content-Type", "application/json"}}, std::move(Body)};
}

} // namespace kingcuphub::http
