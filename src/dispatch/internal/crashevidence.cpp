#include "dispatch/crashevidence.h"

#include <array>
#include <charconv>

namespace kingcuphub::dispatch {

namespace {

constexpr std::size_t MaxSharedParts = 64;
constexpr std::size_t MaxLoggedParts = 8;

} // namespace

PromptParts sharedParts(const std::vector<PromptPart> &Prompt) {
  PromptParts Out;
  for (std::size_t Index = 0; Index + 1 < Prompt.size(); ++Index) {
    if (Out.size() == MaxSharedParts)
      break;
    Out.insert({Prompt[Index].Hash});
  }
  return Out;
}

std::string partName(PromptPartId Part) {
  constexpr int Hexadecimal = 16;
  std::array<char, 16> Digits{};
  auto End = std::to_chars(Digits.data(), Digits.data() + Digits.size(),
                           Part.Value, Hexadecimal);
  return {Digits.data(), End.ptr};
}

std::vector<std::string> partNames(const PromptParts &Parts) {
  std::vector<std::string> Out;
  for (PromptPartId Each : Parts) {
    if (Out.size() == MaxLoggedParts)
      break;
    Out.push_back(partName(Each));
  }
  return Out;
}

} // namespace kingcuphub::dispatch
