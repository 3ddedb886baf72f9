#include "logtailer.h"

#include "base/log.h"

#include <algorithm>
#include <utility>

namespace kingcuphub::agent {

namespace {

constexpr std::chrono::milliseconds MinRetryDelay{50};
constexpr std::chrono::milliseconds MaxRetryDelay{500};

} // namespace

LogTailer::LogTailer(asio::io_context &Loop, const base::Clock &Clock,
                     logservice::LogClient &Log, std::string Stream,
                     std::chrono::milliseconds Wait, TailerEvents Events)
    : Clock(Clock), Log(Log), Stream(std::move(Stream)), Wait(Wait),
      Events(std::move(Events)), Retry(Loop), RetryDelay(MinRetryDelay) {}

LogTailer::~LogTailer() { this->stop(); }

void LogTailer::start(base::Offset From) {
  this->stop();
  this->Next = From;
  this->Run = std::make_shared<bool>(true);
  this->read();
}

void LogTailer::stop() {
  if (this->Run)
    *this->Run = false;
  this->Run.reset();
  this->Retry.cancel();
}

void LogTailer::read() {
  logservice::LogRead Where;
  Where.Stream = this->Stream;
  Where.From = this->Next;
  Where.Wait = this->Wait;
  base::TimePoint SentAt = this->Clock.now();
  this->Log.read(Where, [this, Live = this->Run,
                         SentAt](base::Result<logservice::LogAnswer> Answer) {
    if (!*Live)
      return;
    if (!Answer) {
      this->Trouble = Answer.error().Message;
      return this->readLater();
    }
    this->Trouble.clear();
    this->RetryDelay = MinRetryDelay;
    if (auto *Expired = std::get_if<logservice::LogExpired>(&*Answer)) {
      this->stop();
      return this->Events.OnExpired(Expired->First);
    }
    this->take(std::get<logservice::LogPage>(*Answer), SentAt);
    if (*Live)
      this->read();
  });
}

void LogTailer::readLater() {
  this->Retry.expires_after(this->RetryDelay);
  this->RetryDelay = std::min(2 * this->RetryDelay, MaxRetryDelay);
  this->Retry.async_wait([this, Live = this->Run](asio::error_code Failed) {
    if (!Failed && *Live)
      this->read();
  });
}

void LogTailer::take(const logservice::LogPage &Page, base::TimePoint SentAt) {
  auto Live = this->Run;
  for (const logservice::LogRecord &Record : Page.Records)
    if (!this->takeRecord(Record))
      return;
  if (!Page.Records.empty())
    this->Events.OnPage();
  if (*Live)
    this->checkTail(Page.Tail, SentAt);
}

void LogTailer::checkTail(base::Offset Tail, base::TimePoint SentAt) {
  if (this->Next == Tail)
    return this->Events.OnTail(SentAt);
  if (this->Next > Tail)
    this->Trouble = "the log ends at " + std::to_string(Tail.Value) +
                    ", before what has been read from it (" +
                    std::to_string(this->Next.Value) +
                    "); it was replaced or cut, restore it";
}

void LogTailer::confirmTail() {
  if (!this->Run)
    return;
  logservice::LogRead Where;
  Where.Stream = this->Stream;
  Where.From = this->Next;
  Where.MaxRecords = 1;
  base::TimePoint SentAt = this->Clock.now();
  this->Log.read(Where, [this, Live = this->Run, SentAt](
                            const base::Result<logservice::LogAnswer> &Got) {
    if (!*Live || !Got)
      return;
    if (const auto *Page = std::get_if<logservice::LogPage>(&*Got))
      this->checkTail(Page->Tail, SentAt);
  });
}

bool LogTailer::takeRecord(const logservice::LogRecord &Record) {
  if (Record.At < this->Next)
    return true;
  if (Record.At > this->Next) {
    base::logEvent(base::LogLevel::Error, "log_gap",
                   {{"stream", this->Stream},
                    {"expected", this->Next.Value},
                    {"found", Record.At.Value}});
    return false;
  }
  ++this->Next.Value;
  if (this->Events.OnRecord(Record))
    return true;
  this->stop();
  return false;
}

} // namespace kingcuphub::agent
