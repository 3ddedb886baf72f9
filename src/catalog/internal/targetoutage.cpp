#include "catalog/targetoutage.h"

#include <iterator>

namespace kingcuphub::catalog {

namespace {

/// Times this close to one that is known add nothing.
constexpr std::chrono::milliseconds Resolution{50};
constexpr std::chrono::seconds KeptFor{15};

} // namespace

void TargetOutageDetector::onServed(base::TimePoint At) {
  auto Next = this->Served.lower_bound(At);
  bool Known = Next != this->Served.end() && *Next < At + Resolution;
  if (Next != this->Served.begin())
    Known |= *std::prev(Next) > At - Resolution;
  if (!Known)
    this->Served.insert(Next, At);
  while (*this->Served.begin() < *this->Served.rbegin() - KeptFor)
    this->Served.erase(this->Served.begin());
}

std::optional<base::TimePoint> TargetOutageDetector::lastOutage() const {
  // The last heartbeat before an outage may be one interval old, so that an
  // entry lapses after two more. A third is left for jitter.
  std::chrono::milliseconds Shortest =
      this->Settings.Heartbeat * 2 - this->Settings.Heartbeat / 3;
  std::optional<base::TimePoint> Later;
  for (auto Each = this->Served.rbegin(); Each != this->Served.rend(); ++Each) {
    if (Later && *Later - *Each > Shortest)
      return Later;
    Later = *Each;
  }
  return std::nullopt;
}

std::optional<base::TimePoint> TargetOutageDetector::lastServed() const {
  if (this->Served.empty())
    return std::nullopt;
  return *this->Served.rbegin();
}

} // namespace kingcuphub::catalog
