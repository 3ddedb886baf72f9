#include "scalingduty.h"

#include "base/log.h"
#include "linkmessages.h"

namespace kingcuphub::control {

namespace {

constexpr std::string_view DutyName = "scaling";

DutyCall callFor(const duties::ScalingSubject &Subject,
                 residency::FencingToken Token) {
  return {DutyName,
          {"duty/scaling/" + Subject.first.Value + "/" + Subject.second.Value},
          Token};
}

std::map<base::ZoneId, duties::ZoneTargets>
zonesOf(const catalog::ServiceId &Service, const catalog::TargetList &Targets) {
  std::map<base::ZoneId, duties::ZoneTargets> Out;
  for (const auto &[Id, Each] : Targets.Targets)
    if (Each.Entry.Service == Service) {
      duties::ZoneTargets &Zone = Out[Each.Entry.Zone];
      Zone.Serving += Each.Entry.Leaving ? 0 : 1;
      Zone.IsOut = Targets.ZonesOut.count(Each.Entry.Zone) != 0;
    }
  return Out;
}

duties::ScalingResult resultOf(DutyAnswer Answer) {
  switch (Answer) {
  case DutyAnswer::Accepted:
    return duties::ScalingResult::Accepted;
  case DutyAnswer::Fenced:
  case DutyAnswer::NotCarriedOut:
    return duties::ScalingResult::NotCarriedOut;
  case DutyAnswer::Unknown:
    return duties::ScalingResult::Unknown;
  }
  return duties::ScalingResult::Unknown;
}

} // namespace

ScalingDuty::ScalingDuty(const ControlSettings &Settings, DutyClient *Client,
                         residency::HolderLease &Lease,
                         const base::Clock &Clock, metrics::Registry &Metrics)
    : Settings(Settings), Client(Client), Clock(Clock), Metrics(Metrics),
      Calls(Lease, Clock, Metrics),
      Scaler(Settings.Scaling.value_or(duties::TargetScalerSettings{})) {}

void ScalingDuty::start(residency::FencingToken NewToken,
                        const std::string &State) {
  this->Token = NewToken;
  // A lapsed lease that is renewed late goes on with what was ordered.
  if (std::exchange(this->StartedUnder, NewToken) != NewToken)
    this->Scaler.start(readOrderedCounts(State), this->Clock.now());
}

bool ScalingDuty::tick(const catalog::Catalog &Catalog,
                       const catalog::TargetList &Targets,
                       const residency::Holder &Demand) {
  base::TimePoint Now = this->Clock.now();
  if (!this->enabled() || !this->Token ||
      Now < this->UpdatedAt + this->Settings.ScalingInterval)
    return false;
  this->UpdatedAt = Now;
  for (const auto &[Id, Service] : Catalog.Services) {
    if (!Service.Scaling || !Service.Engine)
      continue;
    residency::ServiceLoad Load = Demand.serviceLoad(Id, Now);
    // Before traffic starts the list of targets may be incomplete, and zones
    // that are not known yet would count as none.
    if (Load.Work <= 0)
      continue;
    this->Scaler.update(Id,
                        {*Service.Scaling, Load.Work, Load.Rise,
                         Load.CarriedPerEngine, Load.EnginesForModels,
                         zonesOf(Id, Targets)},
                        Now);
  }
  auto MayOrder = [this](const duties::ScalingSubject &Subject) {
    return this->Calls.maySend(callFor(Subject, *this->Token));
  };
  while (auto Due = this->Scaler.takeDue(Now, MayOrder))
    this->send(*Due, callFor(Due->Subject, *this->Token));
  return std::exchange(this->Changed, false);
}

void ScalingDuty::send(const duties::ScalingOrder &Order,
                       const DutyCall &Call) {
  base::logEvent(base::LogLevel::Info, "duty-sent",
                 {{"duty", Call.Duty},
                  {"service", Order.Subject.first.Value},
                  {"zone", Order.Subject.second.Value},
                  {"count", Order.Count},
                  {"token", Call.Token.Value}});
  this->Calls.onSent(Call);
  this->Client->orderTargets(
      Order, Call.Token, this->Settings.Self,
      [this, Live = this->Alive, Call] {
        return *Live && this->Calls.maySend(Call);
      },
      [this, Live = this->Alive, Order, Call](DutyAnswer Answer) {
        if (*Live)
          this->onAnswer(Order, Call, Answer);
      });
}

void ScalingDuty::onAnswer(const duties::ScalingOrder &Order,
                           const DutyCall &Call, DutyAnswer Answer) {
  base::logEvent(base::LogLevel::Info, "duty-answered",
                 {{"duty", Call.Duty},
                  {"service", Order.Subject.first.Value},
                  {"zone", Order.Subject.second.Value},
                  {"count", Order.Count},
                  {"token", Call.Token.Value},
                  {"answer", dutyAnswerName(Answer)}});
  this->Calls.onAnswer(Call, Answer, this->Token);
  if (Call.Token != this->StartedUnder)
    return;
  this->Scaler.onResult(Order, resultOf(Answer), this->Clock.now());
  if (Answer == DutyAnswer::Accepted)
    this->Metrics
        .counter("ordered_targets", {{"service", Order.Subject.first.Value},
                                     {"zone", Order.Subject.second.Value}})
        .set(Order.Count);
  this->Changed = true;
}

} // namespace kingcuphub::control
