#ifndef KINGCUPHUB_BASE_TABLE_H
#define KINGCUPHUB_BASE_TABLE_H

/// \file
/// Tables for people: columns as wide as their widest cell.

#include <ostream>
#include <string>
#include <vector>

namespace kingcuphub::base {

class Table {
public:
  explicit Table(std::vector<std::string> Titles);

  /// Adds a row; it must have as many cells as there are titles.
  void add(std::vector<std::string> Cells);
  bool empty() const { return this->Rows.size() == 1; }
  void print(std::ostream &Out) const;

private:
  /// The titles, then the rows.
  std::vector<std::vector<std::string>> Rows;
};

} // namespace kingcuphub::base

#endif // KINGCUPHUB_BASE_TABLE_H
