#include "common/faults.h"

namespace kingcuphub::standin {

namespace {

constexpr std::int64_t Most = 1000000000;

void readMillis(base::SettingsReader &Reader, const std::string &Name,
                std::optional<std::chrono::milliseconds> &Out) {
  if (Reader.has(Name))
    Out = std::chrono::milliseconds(Reader.number(Name, 0, 0, Most));
}

} // namespace

TargetFaults readFaults(base::SettingsReader &Reader, TargetFaults Current) {
  Current.Delay = std::chrono::milliseconds(
      Reader.number("delay_ms", Current.Delay.count(), 0, Most));
  Current.SilentAfterTokens =
      Reader.number("silent_after_tokens", Current.SilentAfterTokens, -1, Most);
  Current.DropAfterTokens =
      Reader.number("drop_after_tokens", Current.DropAfterTokens, -1, Most);
  Current.CrossAnswers = Reader.flag("cross_answers", Current.CrossAnswers);
  Current.AnswerLost = Reader.flag("answer_lost", Current.AnswerLost);
  Current.Refuse = Reader.flag("refuse", Current.Refuse);
  Current.Requests = Reader.number("requests", Current.Requests, -1, Most);
  if (Reader.has("cold"))
    Current.Cold = Reader.flag("cold", false);
  readMillis(Reader, "token_ms", Current.TokenTime);
  readMillis(Reader, "load_ms", Current.LoadTime);
  readMillis(Reader, "report_lag_ms", Current.ReportLag);
  return Current;
}

TargetFaults takeFaults(TargetFaults &Current) {
  TargetFaults Out = Current;
  if (Current.Requests > 0)
    --Current.Requests;
  if (Out.Requests != 0)
    return Out;
  Out.SilentAfterTokens = -1;
  Out.DropAfterTokens = -1;
  Out.CrossAnswers = false;
  Out.AnswerLost = false;
  Out.Refuse = false;
  return Out;
}

} // namespace kingcuphub::standin
