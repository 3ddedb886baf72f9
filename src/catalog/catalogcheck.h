#ifndef KINGCUPHUB_CATALOG_CATALOGCHECK_H
#define KINGCUPHUB_CATALOG_CATALOGCHECK_H

/// \file
/// What is wrong with a configuration, and how it differs from another one, for
/// the operator who is about to send it. No I/O.

#include "catalog/catalog.h"

#include <optional>
#include <string>
#include <vector>

namespace kingcuphub::catalog {

enum class Severity {
  /// The entry does not work at all, or not as written.
  Error,
  /// It works, but part of it can have no effect.
  Warning,
};

struct Finding {
  catalog::Severity Severity = catalog::Severity::Error;
  /// Kind and name of the entry, such as `route drafts`.
  std::string Entry;
  std::string Problem;
  std::string Remedy;
  bool operator==(const Finding &) const = default;
};

enum class ChangeKind { Added, Removed, Changed };

struct Difference {
  ChangeKind Kind = ChangeKind::Changed;
  std::string Entry;
  /// The field and its values before and after; empty if the entry was added or
  /// removed. Keys are counted and never shown.
  std::string Detail;
  bool operator==(const Difference &) const = default;
};

/// A configuration as it was read from a file.
struct ReadConfiguration {
  /// Empty if it could not be read.
  std::optional<Catalog> Read;
  /// What was found while it was read, and by checkCatalog().
  std::vector<Finding> Findings;
};

/// Errors, entries that can never match, and limits that contradict each other.
std::vector<Finding> checkCatalog(const Catalog &Checked);

std::vector<Difference> compareCatalogs(const Catalog &Before,
                                        const Catalog &After);

} // namespace kingcuphub::catalog

#endif // KINGCUPHUB_CATALOG_CATALOGCHECK_H
