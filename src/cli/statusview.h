#ifndef KINGCUPHUB_CLI_STATUSVIEW_H
#define KINGCUPHUB_CLI_STATUSVIEW_H

/// \file
/// The status of a deployment, for a person: what needs a hand comes first.

#include <nlohmann/json.hpp>
#include <ostream>
#include <string>
#include <vector>

namespace kingcuphub::cli {

/// What an operator should look at, each with what to do; empty if nothing.
std::vector<std::string> attentionOf(const nlohmann::json &Status);

/// Prints the answer of `GET /v1/status`.
void printStatus(std::ostream &Out, const nlohmann::json &Status);

} // namespace kingcuphub::cli

#endif // KINGCUPHUB_CLI_STATUSVIEW_H
