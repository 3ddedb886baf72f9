#include "instancelist.h"

#include <utility>

namespace kingcuphub::standin {

void InstanceList::set(base::TimePoint Now, nlohmann::json List) {
  this->Newer.push_back({Now, std::move(List)});
}

nlohmann::json InstanceList::visible(base::TimePoint Now) {
  while (!this->Newer.empty() && this->Newer.front().SetAt + this->Lag <= Now) {
    this->Shown = std::move(this->Newer.front().List);
    this->Newer.pop_front();
  }
  return this->Shown;
}

} // namespace kingcuphub::standin
