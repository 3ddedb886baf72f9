#include "logservice.h"

#include "base/hashing.h"
#include "common/later.h"
#include "common/standinprocess.h"

#include <algorithm>
#include <cstdlib>
#include <nlohmann/json.hpp>
#include <utility>

namespace kingcuphub::standin {

namespace {

constexpr std::size_t DefaultReadRecords = 1000;
constexpr std::size_t MostReadRecords = 10000;
constexpr std::chrono::milliseconds LongestWait(30000);

std::uint64_t numberOf(const std::string &Text, std::uint64_t Default) {
  return Text.empty() ? Default : std::strtoull(Text.c_str(), nullptr, 10);
}

void answerOutage(const http::ResponseWriterPtr &Answer) {
  Answer->respond(
      errorResponse(503, "unavailable", "log_out", "the log has an outage"));
}

} // namespace

LogService::LogService(asio::io_context &Loop, const base::Clock &Clock,
                       LogSettings Settings)
    : Loop(Loop), Clock(Clock), Settings(Settings) {}

base::TimePoint LogService::takeAppendSlot() {
  base::TimePoint Slot = std::max(this->Clock.now(), this->NextAppend);
  this->NextAppend = Slot + std::chrono::duration_cast<base::Duration>(
                                std::chrono::seconds(1)) /
                                this->Settings.AppendsPerSecond;
  return Slot;
}

void LogService::append(const std::string &Stream, std::string Data,
                        http::ResponseWriterPtr Answer) {
  if (this->Faults.Out)
    return answerOutage(Answer);
  ++this->Pending;
  base::Duration Delay =
      this->takeAppendSlot() - this->Clock.now() + this->Faults.Delay;
  runLater(this->Loop, Delay,
           [this, Stream, Data = std::move(Data), Answer]() mutable {
             --this->Pending;
             this->appendNow(Stream, std::move(Data), Answer);
           });
}

void LogService::appendNow(const std::string &Stream, std::string Data,
                           const http::ResponseWriterPtr &Answer) {
  if (this->Faults.Out)
    return answerOutage(Answer);
  std::uint64_t Offset =
      this->Streams[Stream].append(this->Clock.now(), std::move(Data));
  if (this->Faults.AppendAnswersLost > 0) {
    --this->Faults.AppendAnswersLost;
    Answer->abort();
  } else {
    Answer->respond(
        http::jsonResponse(200, nlohmann::json({{"offset", Offset}}).dump()));
  }
  this->wakeWaiters();
}

void LogService::read(const std::string &Stream, const http::Request &Asked,
                      http::ResponseWriterPtr Answer) {
  std::uint64_t From = numberOf(Asked.parameter("from"), 0);
  std::size_t Max = std::min<std::size_t>(
      numberOf(Asked.parameter("max"), DefaultReadRecords), MostReadRecords);
  std::chrono::milliseconds Wait(numberOf(Asked.parameter("wait_ms"), 0));
  runLater(this->Loop, this->Faults.Delay,
           [this, Stream, From, Max, Wait, Answer = std::move(Answer)] {
             this->expire();
             if (this->Faults.Out)
               return answerOutage(Answer);
             if (Wait.count() > 0 && From >= this->Streams[Stream].tail())
               return this->wait(Stream, From, Max, Wait, Answer);
             this->answerRead(Stream, From, Max, Answer);
           });
}

void LogService::answerRead(const std::string &Stream, std::uint64_t From,
                            std::size_t Max,
                            const http::ResponseWriterPtr &Answer) {
  const LogStream &Source = this->Streams[Stream];
  nlohmann::json Body = {{"first", Source.first()}, {"tail", Source.tail()}};
  if (From < Source.first()) {
    Body["error"] = {{"type", "gone"},
                     {"code", "expired"},
                     {"message", "read from `first` on"}};
    return Answer->respond(http::jsonResponse(410, Body.dump()));
  }
  nlohmann::json Records = nlohmann::json::array();
  for (const StoredRecord &Each : Source.read(From, Max))
    Records.push_back(
        {{"offset", Each.Offset}, {"data", base::toBase64(Each.Data)}});
  Body["next"] = From + Records.size();
  Body["records"] = std::move(Records);
  Answer->respond(http::jsonResponse(200, Body.dump()));
}

void LogService::wait(const std::string &Stream, std::uint64_t From,
                      std::size_t Max, std::chrono::milliseconds Longest,
                      http::ResponseWriterPtr Answer) {
  auto Place = this->Waiters.insert(
      this->Waiters.end(), {Stream, From, Max, Answer,
                            std::make_unique<asio::steady_timer>(
                                this->Loop, std::min(Longest, LongestWait))});
  Place->Limit->async_wait([this, Place](std::error_code Failure) {
    if (Failure)
      return;
    Waiter Done = std::move(*Place);
    this->Waiters.erase(Place);
    this->answerRead(Done.Stream, Done.From, Done.Max, Done.Answer);
  });
}

void LogService::wakeWaiters() {
  for (auto Each = this->Waiters.begin(); Each != this->Waiters.end();) {
    bool Ready = this->Faults.Out || !Each->Answer->isOpen() ||
                 Each->From < this->Streams[Each->Stream].tail();
    if (!Ready || Each->Limit->cancel() == 0) {
      ++Each;
      continue;
    }
    Waiter Done = std::move(*Each);
    Each = this->Waiters.erase(Each);
    if (this->Faults.Out)
      answerOutage(Done.Answer);
    else
      this->answerRead(Done.Stream, Done.From, Done.Max, Done.Answer);
  }
}

void LogService::setFaults(const LogFaults &New) {
  this->Faults = New;
  this->wakeWaiters();
}

void LogService::expireBefore(const std::string &Stream, std::uint64_t Offset) {
  this->Streams[Stream].expireBefore(Offset);
}

void LogService::expire() {
  base::TimePoint Oldest = this->Clock.now() - this->Settings.Retention;
  for (auto &[Name, Stream] : this->Streams)
    Stream.expireOlderThan(Oldest);
}

} // namespace kingcuphub::standin
