#ifndef KINGCUPHUB_STANDINS_PLATFORM_LOGSTREAM_H
#define KINGCUPHUB_STANDINS_PLATFORM_LOGSTREAM_H

/// \file
/// One append-only stream that keeps its records for a limited time.

#include "base/clock.h"

#include <cstdint>
#include <deque>
#include <string>
#include <vector>

namespace kingcuphub::standin {

/// A record with its place in the stream.
struct StoredRecord {
  std::uint64_t Offset = 0;
  base::TimePoint AppendedAt;
  std::string Data;
};

class LogStream {
public:
  /// The offset that the record got.
  std::uint64_t append(base::TimePoint Now, std::string Data);
  /// Up to \p Max records from \p From on.
  std::vector<StoredRecord> read(std::uint64_t From, std::size_t Max) const;
  void expireBefore(std::uint64_t Offset);
  void expireOlderThan(base::TimePoint Oldest);
  /// The oldest kept record, and the one after the newest.
  std::uint64_t first() const { return this->First; }
  std::uint64_t tail() const { return this->First + this->Records.size(); }

private:
  std::uint64_t First = 0;
  std::deque<StoredRecord> Records;
};

} // namespace kingcuphub::standin

#endif // KINGCUPHUB_STANDINS_PLATFORM_LOGSTREAM_H
