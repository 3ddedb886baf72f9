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

void TargetOutageDetector::onServedThroughout(base::TimePoint From,
                                              base::TimePoint To) {
  if (!this->lastOutage())
    return;
  for (base::TimePoint Each = From; Each < To; Each += this->Settings.Heartbeat)
    this->onServed(Each);
  this->onServed(To);
}

std::chrono::milliseconds TargetOutageDetector::shortestOutage() const {
  // The last heartbeat before an outage may be one interval old, so that an
  // entry lapses after two more. A third is left for jitter.
  return this->Settings.Heartbeat * 2 - this->Settings.Heartbeat / 3;
}

std::optional<base::TimePoint> TargetOutageDetector::lastOutage() const {
  auto Since = this->servedSince();
  bool FromTheStart = !Since || *Since == *this->Served.begin();
  return FromTheStart ? std::nullopt : Since;
}

std::optional<base::TimePoint> TargetOutageDetector::servedSince() const {
  std::optional<base::TimePoint> Later;
  for (auto Each = this->Served.rbegin(); Each != this->Served.rend(); ++Each) {
    if (Later && *Later - *Each > this->shortestOutage())
      return Later;
    Later = *Each;
  }
  return Later;
}

std::optional<base::TimePoint> TargetOutageDetector::lastServed() const {
  if (this->Served.empty())
    return std::nullopt;
  return *this->Served.rbegin();
}

} // namespace kingcuphub::catalog
