#include "catalog/targetoutage.h"

#include <algorithm>

namespace kingcuphub::catalog {

void TargetOutageDetector::onCallFailed(base::TimePoint At) {
  this->FailedAt = std::max(this->FailedAt.value_or(At), At);
}

void TargetOutageDetector::onReported(const TargetLogRead &Read) {
  if (!this->Last || Read.Position > this->Last->Position)
    this->Last = Read;
}

std::optional<TargetOutage>
TargetOutageDetector::onRead(const TargetLogRead &Read, std::size_t Targets,
                             base::TimePoint Now) {
  auto Silence = this->silence(Read, Targets, Now);
  this->Last = Read;
  if (!Silence && this->FailedAt)
    return TargetOutage{*this->FailedAt, std::nullopt};
  if (Silence && *Silence > this->Settings.Heartbeat)
    return TargetOutage{Read.AskedAt, Silence};
  return std::nullopt;
}

std::optional<base::Duration>
TargetOutageDetector::silence(const TargetLogRead &Read, std::size_t Targets,
                              base::TimePoint Now) const {
  if (!this->Last || Targets == 0 || Read.Position < this->Last->Position ||
      Now > this->Last->AskedAt + this->Settings.LongestGap)
    return std::nullopt;
  // A store that comes back in a new era begins to count elsewhere.
  constexpr std::uint64_t MaxRecords = std::uint64_t{1} << 24U;
  std::uint64_t Records = Read.Position - this->Last->Position;
  if (Records > MaxRecords)
    return std::nullopt;
  base::Duration Written = std::chrono::duration_cast<base::Duration>(
      this->Settings.Heartbeat *
      (static_cast<double>(Records) / static_cast<double>(Targets)));
  return Now - this->Last->AskedAt - Written;
}

} // namespace kingcuphub::catalog
