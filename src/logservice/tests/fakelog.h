#ifndef KINGCUPHUB_LOGSERVICE_TESTS_FAKELOG_H
#define KINGCUPHUB_LOGSERVICE_TESTS_FAKELOG_H

/// \file
/// A log in memory whose faults a test sets by hand.

#include "logservice/logclient.h"

#include <algorithm>
#include <asio/io_context.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <map>
#include <memory>
#include <utility>

namespace kingcuphub::logservice {

class FakeLog final : public LogClient {
public:
  explicit FakeLog(asio::io_context &Loop) : Loop(Loop) {}

  /// Every call fails with Unavailable.
  bool Out = false;
  /// So many appends take effect but their answers are lost.
  int LoseAppendAnswers = 0;
  /// So many appends have no effect and look as if their answers were lost.
  int DropAppends = 0;
  std::size_t Appends = 0;
  /// The oldest kept offset of a stream.
  std::map<std::string, std::uint64_t> First;
  std::map<std::string, std::vector<std::string>> Streams;

  void append(const std::string &Stream, std::string Record,
              AppendDone Done) override {
    ++this->Appends;
    if (this->Out)
      return this->answer(std::move(Done), unavailable());
    if (takeOne(this->DropAppends))
      return this->answer(std::move(Done), lost());
    this->Streams[Stream].push_back(std::move(Record));
    base::Offset At{this->Streams[Stream].size() - 1};
    if (takeOne(this->LoseAppendAnswers))
      return this->answer(std::move(Done), lost());
    this->answer(std::move(Done), base::Result<base::Offset>(At));
  }

  void read(const LogRead &Where, ReadDone Done) override {
    if (this->Out)
      return this->answer(std::move(Done), unavailable());
    std::vector<std::string> &All = this->Streams[Where.Stream];
    std::uint64_t Oldest = this->First[Where.Stream];
    if (Where.From.Value < Oldest)
      return this->answer(std::move(Done),
                          base::Result<LogAnswer>(LogExpired{{Oldest}}));
    if (Where.From.Value >= All.size() && Where.Wait.count() > 0)
      return this->readLater(Where, std::move(Done));
    LogPage Page{{Oldest}, Where.From, {All.size()}, {}};
    for (;
         Page.Next.Value < All.size() && Page.Records.size() < Where.MaxRecords;
         ++Page.Next.Value)
      Page.Records.push_back({Page.Next, All[Page.Next.Value]});
    this->answer(std::move(Done), base::Result<LogAnswer>(std::move(Page)));
  }

private:
  static tl::unexpected<base::Error> unavailable() {
    return base::fail(PlatformErrc::Unavailable, "the log is out");
  }
  static tl::unexpected<base::Error> lost() {
    return base::fail(PlatformErrc::AnswerLost, "the answer was lost");
  }
  static bool takeOne(int &Left) { return Left > 0 && Left-- > 0; }

  /// A long poll that waits a fixed short time.
  void readLater(LogRead Where, ReadDone Done) {
    auto Timer = std::make_shared<asio::steady_timer>(
        this->Loop, std::chrono::milliseconds(5));
    Where.Wait = std::chrono::milliseconds(0);
    Timer->async_wait(
        [this, Timer, Where, Done = std::move(Done)](asio::error_code) mutable {
          this->read(Where, std::move(Done));
        });
  }

  template <typename Callback, typename Value>
  void answer(Callback Done, Value Answer) {
    asio::post(this->Loop,
               [Done = std::move(Done), Answer = std::move(Answer)]() mutable {
                 Done(std::move(Answer));
               });
  }

  asio::io_context &Loop;
};

} // namespace kingcuphub::logservice

#endif // KINGCUPHUB_LOGSERVICE_TESTS_FAKELOG_H
