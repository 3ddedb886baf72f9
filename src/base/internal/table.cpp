#include "base/table.h"

#include <algorithm>
#include <utility>

namespace kingcuphub::base {

namespace {

constexpr std::size_t ColumnGap = 2;

} // namespace

Table::Table(std::vector<std::string> Titles) {
  this->Rows.push_back(std::move(Titles));
}

void Table::add(std::vector<std::string> Cells) {
  this->Rows.push_back(std::move(Cells));
}

void Table::print(std::ostream &Out) const {
  std::vector<std::size_t> Widths(this->Rows.front().size(), 0);
  for (const std::vector<std::string> &Row : this->Rows)
    for (std::size_t Column = 0; Column < Row.size(); ++Column)
      Widths[Column] = std::max(Widths[Column], Row[Column].size());
  for (const std::vector<std::string> &Row : this->Rows) {
    std::string Line;
    for (std::size_t Column = 0; Column < Row.size(); ++Column) {
      Line += Row[Column];
      Line.append(Widths[Column] - Row[Column].size() + ColumnGap, ' ');
    }
    Line.erase(Line.find_last_not_of(' ') + 1);
    Out << Line << '\n';
  }
}

} // namespace kingcuphub::base
