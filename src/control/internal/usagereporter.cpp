#include "usagereporter.h"

#include "base/log.h"
#include "linkmessages.h"

namespace kingcuphub::control {

namespace {

DutyCall callUnder(residency::FencingToken Token) {
  return {"usage", {"duty/usage"}, Token};
}

} // namespace

UsageReporter::UsageReporter(const ControlSettings &Settings,
                             DutyClient *Client, residency::HolderLease &Lease,
                             const base::Clock &Clock,
                             metrics::Registry &Metrics)
    : Settings(Settings), Client(Client), Lease(Lease), Clock(Clock),
      Calls(Lease, Clock, Metrics),
      Ledger(Settings.UsageReports.value_or(duties::UsageLedgerSettings{})) {}

void UsageReporter::start(residency::FencingToken NewToken,
                          const std::string &State) {
  this->Token = NewToken;
  // A lapsed lease that is renewed late goes on with what was counted.
  if (std::exchange(this->StartedUnder, NewToken) == NewToken) {
    this->Changed = true;
    return;
  }
  this->FleetTime.clear();
  this->Started = this->MostHeard = false;
  this->StoredState.clear();
  auto Read = readUsageState(State);
  this->MayBeIncomplete = !Read || this->Lease.followsLostRecords();
  this->Inherited = Read.value_or(duties::UsageState{});
}

void UsageReporter::onReport(const wire::InstanceReport &Report,
                             wire::HolderReply &Reply) {
  duties::WallMillis Stated(Report.wall_clock_ms());
  if (!this->enabled() || !duties::isPlausible(Stated))
    return;
  base::TimePoint Now = this->Clock.now();
  this->FleetTime.onReported({Report.instance()}, Stated, Now);
  // One clock alone may be wrong, and what was settled by it would stand.
  auto Wall = this->MostHeard ? this->FleetTime.wallAt(Now) : std::nullopt;
  if (!Wall)
    return;
  Reply.set_wall_clock_ms(Wall->count());
  if (!std::exchange(this->Started, true)) {
    this->Ledger.start(std::move(this->Inherited), *Wall,
                       this->MayBeIncomplete);
    this->Changed = true;
  }
  duties::WindowId Current =
      duties::windowAt(*Wall, this->Settings.UsageReports->WindowLength);
  duties::WindowId Through{std::min(Report.begun_through(), Current.Value - 1)};
  std::map<duties::WindowId, duties::BegunCounts> Begun;
  for (const wire::BegunCount &Each : Report.begun())
    Begun[{Each.window()}][{Each.account()}] = Each.count();
  this->Ledger.onCounts({Report.instance()}, Through, Begun);
  Reply.set_begun_through(Through.Value);
}

bool UsageReporter::tick(
    const std::optional<std::set<base::InstanceId>> &Instances) {
  this->MostHeard = this->MostHeard || Instances.has_value();
  base::TimePoint Now = this->Clock.now();
  auto Wall = this->FleetTime.wallAt(Now);
  if (!this->enabled() || !this->Token || !this->Started || !Wall)
    return false;
  bool HasChanged = this->Ledger.settle(Instances, *Wall);
  if (this->Lease.claimedHere() &&
      this->StoredState != this->Lease.record()->State) {
    this->StoredState = this->Lease.record()->State;
    if (auto Stored = readUsageState(this->StoredState))
      this->Ledger.onStored(Stored->Reports);
  }
  if (this->Calls.maySend(callUnder(*this->Token)))
    if (auto Due = this->Ledger.takeDue(*Wall))
      this->send(*Due);
  return std::exchange(this->Changed, false) || HasChanged;
}

void UsageReporter::send(const duties::UsageReport &Report) {
  DutyCall Call = callUnder(*this->Token);
  base::logEvent(base::LogLevel::Info, "duty-sent",
                 {{"duty", Call.Duty},
                  {"window", Report.Window.Value},
                  {"accounts", Report.Counts.size()},
                  {"token", Call.Token.Value}});
  this->Calls.onSent(Call);
  this->Client->reportUsage(
      Report, Call.Token, this->Settings.Self,
      [this, Live = this->Alive, Call] {
        return *Live && this->Calls.maySend(Call);
      },
      [this, Live = this->Alive, Report, Call](DutyAnswer Answer) {
        if (*Live)
          this->onAnswer(Report, Call, Answer);
      });
}

void UsageReporter::onAnswer(const duties::UsageReport &Report,
                             const DutyCall &Call, DutyAnswer Answer) {
  base::logEvent(base::LogLevel::Info, "duty-answered",
                 {{"duty", Call.Duty},
                  {"window", Report.Window.Value},
                  {"token", Call.Token.Value},
                  {"answer", dutyAnswerName(Answer)}});
  this->Calls.onAnswer(Call, Answer, this->Token);
  if (Call.Token != this->StartedUnder)
    return;
  this->Ledger.onSent(Report.Window, Answer == DutyAnswer::Accepted);
  this->Changed = this->Changed || Answer == DutyAnswer::Accepted;
}

} // namespace kingcuphub::control
