#ifndef KINGCUPHUB_EXPLAIN_INTERNAL_LOGLINE_H
#define KINGCUPHUB_EXPLAIN_INTERNAL_LOGLINE_H

/// \file
/// One event of an instance's log.

#include "explain/explain.h"

#include <optional>
#include <string>

namespace kingcuphub::explain {

/// Reads a line, which may stand behind any prefix; nothing if it is no log
/// line.
std::optional<Step> parseLine(const std::string &Line);

/// A field of text; empty if there is none.
std::string fieldOf(const Step &Of, const char *Name);

/// A field with a number; zero if there is none.
double numberOf(const Step &Of, const char *Name);

} // namespace kingcuphub::explain

#endif // KINGCUPHUB_EXPLAIN_INTERNAL_LOGLINE_H
