#include "logstream.h"

#include <utility>

namespace kingcuphub::standin {

std::uint64_t LogStream::append(base::TimePoint Now, std::string Data) {
  std::uint64_t Offset = this->tail();
  this->Records.push_back({Offset, Now, std::move(Data)});
  return Offset;
}

std::vector<StoredRecord> LogStream::read(std::uint64_t From,
                                          std::size_t Max) const {
  std::vector<StoredRecord> Out;
  for (std::uint64_t At = From; At < this->tail() && Out.size() < Max; ++At)
    Out.push_back(this->Records[At - this->First]);
  return Out;
}

void LogStream::expireBefore(std::uint64_t Offset) {
  while (!this->Records.empty() && this->First < Offset) {
    this->Records.pop_front();
    ++this->First;
  }
}

void LogStream::expireOlderThan(base::TimePoint Oldest) {
  while (!this->Records.empty() && this->Records.front().AppendedAt < Oldest) {
    this->Records.pop_front();
    ++this->First;
  }
}

} // namespace kingcuphub::standin
