#ifndef KINGCUPHUB_AGENT_INTERNAL_APIJSON_H
#define KINGCUPHUB_AGENT_INTERNAL_APIJSON_H

/// \file
/// The JSON bodies of the operators' API.

#include "agent/part.h"
#include "base/error.h"
#include "changes.h"

#include <records.pb.h>
#include <string>

namespace kingcuphub::agent {

enum class ApiErrc { MalformedChange = 1 };
std::error_code make_error_code(ApiErrc Kind);

/// A change's body, as in `{"account_put":{...},"base_offset":7}`. A record
/// id in it is kept, so that an operator may repeat a change whose answer was
/// lost.
base::Result<wire::Record> parseChange(const std::string &Body);

nlohmann::json changeJson(const ChangeAnswer &Answer);

/// The configuration without secret hashes.
std::string configJson(const ConfigFeed &Config);

/// What `kingcuphub status` shows.
nlohmann::json statusJson(const AgentContext &Context,
                          const FreshnessProof &Proof);

/// `{"error":{"code":...,"message":...}}`.
std::string errorJson(const std::string &Code, const std::string &Message);

} // namespace kingcuphub::agent

template <>
struct std::is_error_code_enum<kingcuphub::agent::ApiErrc> : std::true_type {};

#endif // KINGCUPHUB_AGENT_INTERNAL_APIJSON_H
