#include "base/hashing.h"

#include <algorithm>
#include <sodium.h>
#include <xxhash.h>

namespace kingcuphub::base {

namespace {

constexpr std::size_t HashBytes = 32;

std::string toHex(const unsigned char *Data, std::size_t Size) {
  std::string Out(Size * 2 + 1, '\0');
  sodium_bin2hex(Out.data(), Out.size(), Data, Size);
  Out.resize(Size * 2);
  return Out;
}

} // namespace

std::uint64_t stableHash(std::string_view Text, std::uint64_t Seed) {
  return XXH64(Text.data(), Text.size(), Seed);
}

std::vector<std::string> rankNodes(std::string_view Key,
                                   std::vector<std::string> Nodes) {
  std::uint64_t Seed = stableHash(Key);
  std::sort(Nodes.begin(), Nodes.end(),
            [Seed](const std::string &Left, const std::string &Right) {
              std::uint64_t LeftWeight = stableHash(Left, Seed);
              std::uint64_t RightWeight = stableHash(Right, Seed);
              return LeftWeight != RightWeight ? LeftWeight > RightWeight
                                               : Left < Right;
            });
  return Nodes;
}

std::string secureHash(std::string_view Text) {
  unsigned char Hash[HashBytes];
  crypto_generichash(Hash, sizeof(Hash),
                     reinterpret_cast<const unsigned char *>(Text.data()),
                     Text.size(), nullptr, 0);
  return toHex(Hash, sizeof(Hash));
}

bool equalConstantTime(std::string_view Left, std::string_view Right) {
  return Left.size() == Right.size() &&
         sodium_memcmp(Left.data(), Right.data(), Left.size()) == 0;
}

std::string randomHex(std::size_t Count) {
  std::vector<unsigned char> Data(Count);
  randombytes_buf(Data.data(), Data.size());
  return toHex(Data.data(), Data.size());
}

std::string toBase64(std::string_view Data) {
  std::string Out(
      sodium_base64_encoded_len(Data.size(), sodium_base64_VARIANT_ORIGINAL),
      '\0');
  sodium_bin2base64(Out.data(), Out.size(),
                    reinterpret_cast<const unsigned char *>(Data.data()),
                    Data.size(), sodium_base64_VARIANT_ORIGINAL);
  Out.resize(Out.size() - 1);
  return Out;
}

std::string fromBase64(std::string_view Text) {
  std::string Out(Text.size(), '\0');
  std::size_t Size = 0;
  if (sodium_base642bin(reinterpret_cast<unsigned char *>(Out.data()),
                        Out.size(), Text.data(), Text.size(), nullptr, &Size,
                        nullptr, sodium_base64_VARIANT_ORIGINAL) != 0)
    return {};
  Out.resize(Size);
  return Out;
}

} // namespace kingcuphub::base
