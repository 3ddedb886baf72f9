#ifndef KINGCUPHUB_BASE_HASHING_H
#define KINGCUPHUB_BASE_HASHING_H

/// \file
/// Hashes that every instance computes alike, and secrets.

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace kingcuphub::base {

/// A 64-bit hash, the same on every instance and in every version.
std::uint64_t stableHash(std::string_view Text, std::uint64_t Seed = 0);

/// Rendezvous hashing: \p Nodes by falling weight for \p Key. The order of
/// the remaining nodes does not change when one leaves.
std::vector<std::string> rankNodes(std::string_view Key,
                                   std::vector<std::string> Nodes);

/// A keyless BLAKE2b hash of a secret or a snapshot, as 64 hex digits.
std::string secureHash(std::string_view Text);

/// Compares in time that does not depend on where the texts differ.
bool equalConstantTime(std::string_view Left, std::string_view Right);

/// \p Count random bytes from the system, as hex digits.
std::string randomHex(std::size_t Count);

std::string toBase64(std::string_view Data);
/// Empty if \p Text is not base64.
std::string fromBase64(std::string_view Text);

} // namespace kingcuphub::base

#endif // KINGCUPHUB_BASE_HASHING_H
