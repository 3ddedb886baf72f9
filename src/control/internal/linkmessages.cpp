#include "linkmessages.h"

#include "base/log.h"
#include "base/visitor.h"

#include <algorithm>

namespace kingcuphub::control {

void writeUse(const forwarding::TrafficUse &Use, wire::InstanceReport &To) {
  for (const residency::ItemUse &Each : Use.Items) {
    wire::ItemUse &Out = *To.add_items();
    Out.set_service(Each.Service.Value);
    Out.set_model(Each.What.Model.Value);
    Out.set_adapter(Each.What.Adapter.Value);
    Out.set_work_seconds(Each.Work.count());
    Out.set_arrived(Each.Arrived);
    Out.set_waiting(Each.Waiting);
  }
}

std::vector<residency::ItemUse> readItems(const wire::InstanceReport &From) {
  std::vector<residency::ItemUse> Out;
  for (const wire::ItemUse &Each : From.items())
    Out.push_back({{Each.service()},
                   {{Each.model()}, {Each.adapter()}},
                   std::chrono::duration<double>(Each.work_seconds()),
                   Each.arrived(),
                   Each.waiting()});
  return Out;
}

/// The account to which a quantity belongs.
std::string accountOf(const base::QuantityId &Quantity) {
  return admission::accountOfTokens(Quantity).Value;
}

void writeCredits(const std::vector<admission::CreditCommand> &Commands,
                  wire::InstanceReport &To) {
  for (const admission::CreditCommand &Each : Commands)
    std::visit(base::Visitor{[&To](const admission::AskCredit &Ask) {
                               wire::TokenAsk &Out = *To.add_token_asks();
                               Out.set_account(accountOf(Ask.Quantity));
                               Out.set_amount(Ask.Amount);
                               Out.set_request(Ask.Request);
                               Out.set_needed(Ask.Needed);
                             },
                             [&To](const admission::ReturnCredit &Return) {
                               wire::TokenReturn &Out = *To.add_token_returns();
                               Out.set_account(accountOf(Return.Quantity));
                               Out.set_amount(Return.Amount);
                             }},
               Each);
}

namespace {

using WireModels = google::protobuf::RepeatedPtrField<wire::HeldModel>;

void writeModels(const catalog::HeldModels &Models, WireModels &To) {
  for (const auto &[Model, Each] : Models) {
    wire::HeldModel &One = *To.Add();
    One.set_model(Model.Value);
    for (const base::AdapterId &Adapter : Each.Adapters)
      One.add_adapters(Adapter.Value);
  }
}

catalog::HeldModels readModels(const WireModels &From) {
  catalog::HeldModels Out;
  for (const wire::HeldModel &Model : From) {
    catalog::HeldModel &One = Out[{Model.model()}];
    for (const std::string &Adapter : Model.adapters())
      One.Adapters.insert({Adapter});
  }
  return Out;
}

} // namespace

void writeHistory(const std::vector<dispatch::UsedAmount> &Used, bool Whole,
                  base::TimePoint Now, wire::InstanceReport &To) {
  To.set_history_included(true);
  To.set_history_whole(Whole);
  for (const dispatch::UsedAmount &Each : Used) {
    wire::TokenUse &Out = *To.add_history();
    Out.set_account(Each.Account.Value);
    Out.set_amount(Each.Amount);
    // The newest part of the window has not ended yet: its age is negative.
    Out.set_age_ms(static_cast<std::int32_t>(base::millisOf(Now - Each.At)));
  }
}

std::vector<dispatch::UsedAmount> readHistory(const wire::InstanceReport &From,
                                              base::TimePoint Now) {
  std::vector<dispatch::UsedAmount> Out;
  for (const wire::TokenUse &Each : From.history())
    Out.push_back({{Each.account()},
                   Each.amount(),
                   Now - std::chrono::milliseconds(Each.age_ms())});
  return Out;
}

void writeHeld(const HeldDelta &Update, wire::HolderReply &To) {
  To.set_held_included(true);
  To.set_held_base(Update.Base);
  To.set_held_revision(Update.Revision);
  for (const auto &[Id, State] : Update.Changes) {
    wire::HeldTarget &Out = *To.add_held();
    Out.set_target(Id.Value);
    Out.set_gone(!State.has_value());
    if (!State)
      continue;
    Out.set_lifetime(State->Lifetime.Value);
    writeModels(State->Models, *Out.mutable_models());
  }
}

namespace {

/// Times in successive heartbeats of a target vary with the time it takes to
/// read them.
constexpr base::Duration TimeTolerance = std::chrono::milliseconds(300);

bool sameTime(base::TimePoint Left, base::TimePoint Right) {
  return Left < Right + TimeTolerance && Right < Left + TimeTolerance;
}

bool isCold(const catalog::Target &Target) {
  return Target.ColdUntil > Target.ReadAt;
}

bool sameModels(const catalog::HeldModels &Left,
                const catalog::HeldModels &Right) {
  return std::equal(Left.begin(), Left.end(), Right.begin(), Right.end(),
                    [](const auto &One, const auto &Other) {
                      return One.first == Other.first;
                    });
}

std::uint32_t millisUntil(base::TimePoint At, base::TimePoint Now) {
  auto Left = std::chrono::duration_cast<std::chrono::milliseconds>(At - Now);
  return static_cast<std::uint32_t>(std::max<std::int64_t>(0, Left.count()));
}

} // namespace

bool ListedTarget::operator==(const ListedTarget &Other) const {
  const catalog::TargetEntry &Left = this->Target.Entry;
  const catalog::TargetEntry &Right = Other.Target.Entry;
  bool SameEnd =
      this->Target.EndsAt.has_value() == Other.Target.EndsAt.has_value() &&
      (!this->Target.EndsAt ||
       sameTime(*this->Target.EndsAt, *Other.Target.EndsAt));
  bool SameCold = isCold(this->Target) == isCold(Other.Target) &&
                  (!isCold(this->Target) ||
                   sameTime(this->Target.ColdUntil, Other.Target.ColdUntil));
  return SameEnd && SameCold && Left.Lifetime == Right.Lifetime &&
         Left.Service == Right.Service &&
         Left.Address.text() == Right.Address.text() &&
         Left.Zone == Right.Zone && Left.Slots == Right.Slots &&
         Left.Leaving == Right.Leaving && sameModels(Left.Models, Right.Models);
}

void writeListed(const ListedDelta &Update, base::TimePoint Now,
                 wire::HolderReply &To) {
  To.set_listed_included(true);
  To.set_listed_base(Update.Base);
  To.set_listed_revision(Update.Revision);
  for (const auto &[Id, Listed] : Update.Changes) {
    wire::ListedTarget &Out = *To.add_listed();
    Out.set_target(Id.Value);
    Out.set_gone(!Listed.has_value());
    if (!Listed)
      continue;
    const catalog::TargetEntry &Entry = Listed->Target.Entry;
    Out.set_lifetime(Entry.Lifetime.Value);
    Out.set_beat(Entry.Beat);
    Out.set_service(Entry.Service.Value);
    Out.set_address(Entry.Address.text());
    Out.set_zone(Entry.Zone.Value);
    Out.set_slots(Entry.Slots);
    Out.set_leaving(Entry.Leaving);
    if (Listed->Target.EndsAt)
      Out.set_time_left_ms(millisUntil(*Listed->Target.EndsAt, Now));
    Out.set_cold_for_ms(millisUntil(Listed->Target.ColdUntil, Now));
    writeModels(Entry.Models, *Out.mutable_models());
  }
}

ListedDelta readListed(const wire::HolderReply &From, base::TimePoint Now) {
  ListedDelta Out{From.listed_base(), From.listed_revision(), {}};
  for (const wire::ListedTarget &Each : From.listed()) {
    if (Each.gone()) {
      Out.Changes.emplace_back(base::TargetId{Each.target()}, std::nullopt);
      continue;
    }
    auto Address = base::parseEndpoint(Each.address());
    if (!Address) {
      base::logEvent(base::LogLevel::Warn, "listed-target-unreadable",
                     {{"target", Each.target()}, {"address", Each.address()}});
      continue;
    }
    ListedTarget New;
    catalog::TargetEntry &Entry = New.Target.Entry;
    Entry.Id = {Each.target()};
    Entry.Lifetime.Value = Each.lifetime();
    Entry.Beat = Each.beat();
    Entry.Service = {Each.service()};
    Entry.Address = *Address;
    Entry.Zone = {Each.zone()};
    Entry.Slots = Each.slots();
    Entry.Leaving = Each.leaving();
    if (Each.has_time_left_ms())
      Entry.TimeLeft = std::chrono::milliseconds(Each.time_left_ms());
    Entry.ColdFor = std::chrono::milliseconds(Each.cold_for_ms());
    Entry.Models = readModels(Each.models());
    New.Target.ReadAt = Now;
    Out.Changes.emplace_back(Entry.Id, std::move(New));
  }
  return Out;
}

ReceivedHeldDelta readHeld(const wire::HolderReply &From) {
  ReceivedHeldDelta Out{From.held_base(), From.held_revision(), {}};
  for (const wire::HeldTarget &Each : From.held()) {
    auto &[Id, State] = Out.Changes.emplace_back();
    Id.Value = Each.target();
    if (Each.gone())
      continue;
    State = std::make_shared<const catalog::HeldState>(
        catalog::HeldState{{Each.lifetime()}, readModels(Each.models())});
  }
  return Out;
}

namespace {

using WireParts = google::protobuf::RepeatedField<std::uint64_t>;

void writeParts(const dispatch::PromptParts &Parts, WireParts &To) {
  for (dispatch::PromptPartId Each : Parts)
    To.Add(Each.Value);
}

dispatch::PromptParts readParts(const WireParts &From) {
  dispatch::PromptParts Out;
  for (std::uint64_t Each : From)
    Out.insert({Each});
  return Out;
}

void writeSuspect(dispatch::PromptPartId Part,
                  const dispatch::SuspectPart &Suspect, base::TimePoint Now,
                  wire::SuspectPart &To) {
  To.set_part(Part.Value);
  writeParts(Suspect.Together, *To.mutable_together());
  To.set_age_ms(millisUntil(Now, Suspect.Since));
  To.set_quarantined(Suspect.Quarantined);
  To.set_ends(Suspect.Ends);
  To.set_trial(Suspect.Trial.Number);
  To.set_trial_by(Suspect.Trial.By.Value);
  To.set_next_trial_in_ms(millisUntil(Suspect.NextTrialAt, Now));
}

dispatch::SuspectPart readSuspect(const wire::SuspectPart &From,
                                  base::TimePoint Now) {
  dispatch::SuspectPart Out;
  Out.Together = readParts(From.together());
  Out.Together.insert({From.part()});
  Out.Since = Now - std::chrono::milliseconds(From.age_ms());
  Out.Quarantined = From.quarantined();
  Out.Ends = From.ends();
  Out.Trial = {From.trial(), {From.trial_by()}};
  Out.NextTrialAt = Now + std::chrono::milliseconds(From.next_trial_in_ms());
  return Out;
}

} // namespace

void writeSuspects(const SuspectsDelta &Update, base::TimePoint Now,
                   wire::HolderReply &To) {
  To.set_suspects_included(true);
  To.set_suspects_base(Update.Base);
  To.set_suspects_revision(Update.Revision);
  for (const auto &[Part, Suspect] : Update.Changes) {
    wire::SuspectPart &Out = *To.add_suspects();
    if (Suspect) {
      writeSuspect(Part, *Suspect, Now, Out);
      continue;
    }
    Out.set_part(Part.Value);
    Out.set_gone(true);
  }
}

SuspectsDelta readSuspects(const wire::HolderReply &From, base::TimePoint Now) {
  SuspectsDelta Out{From.suspects_base(), From.suspects_revision(), {}};
  for (const wire::SuspectPart &Each : From.suspects()) {
    auto &[Part, Suspect] = Out.Changes.emplace_back();
    Part.Value = Each.part();
    if (!Each.gone())
      Suspect = readSuspect(Each, Now);
  }
  return Out;
}

void writeEvidence(const dispatch::CrashEvidence &Evidence, base::TimePoint Now,
                   wire::InstanceReport &To) {
  for (const dispatch::TargetEnd &Each : Evidence.Ends) {
    wire::TargetEnd &Out = *To.add_target_ends();
    Out.set_target(Each.Target.Value);
    Out.set_lifetime(Each.Lifetime.Value);
    Out.set_age_ms(millisUntil(Now, Each.At));
    for (const dispatch::PromptParts &Prompt : Each.Prompts)
      writeParts(Prompt, *Out.add_prompts()->mutable_parts());
  }
  for (const dispatch::ServedPart &Each : Evidence.Served) {
    wire::ServedPart &Out = *To.add_served_parts();
    Out.set_part(Each.Part.Value);
    Out.set_age_ms(millisUntil(Now, Each.At));
  }
  writeParts(Evidence.Refused, *To.mutable_refused_parts());
}

dispatch::CrashEvidence readEvidence(const wire::InstanceReport &From,
                                     base::TimePoint Now) {
  dispatch::CrashEvidence Out;
  for (const wire::TargetEnd &Each : From.target_ends()) {
    dispatch::TargetEnd &End = Out.Ends.emplace_back();
    End.Target.Value = Each.target();
    End.Lifetime.Value = Each.lifetime();
    End.At = Now - std::chrono::milliseconds(Each.age_ms());
    for (const wire::PromptParts &Prompt : Each.prompts())
      End.Prompts.push_back(readParts(Prompt.parts()));
  }
  for (const wire::ServedPart &Each : From.served_parts())
    Out.Served.push_back(
        {{Each.part()}, Now - std::chrono::milliseconds(Each.age_ms())});
  Out.Refused = readParts(From.refused_parts());
  return Out;
}

std::string writeHolderState(const dispatch::SuspectParts &Quarantined,
                             const duties::UsageState &Usage,
                             const duties::OrderedCounts &Ordered,
                             base::TimePoint Now) {
  wire::HolderState Out;
  for (const auto &[Subject, Count] : Ordered) {
    wire::OrderedTargets &Targets = *Out.add_ordered();
    Targets.set_service(Subject.first.Value);
    Targets.set_zone(Subject.second.Value);
    Targets.set_count(Count);
  }
  Out.set_settled_through(Usage.SettledThrough.Value);
  for (const duties::UsageReport &Each : Usage.Reports) {
    wire::UsageReport &Report = *Out.add_usage();
    Report.set_window(Each.Window.Value);
    Report.set_accepted(Each.Accepted);
    for (const auto &[Account, Count] : Each.Counts) {
      wire::UsageCount &Part = *Report.add_counts();
      Part.set_account(Account.Value);
      Part.set_count(Count);
    }
  }
  for (const auto &[Part, Each] : Quarantined)
    writeSuspect(Part, Each, Now, *Out.add_quarantined());
  return Out.SerializeAsString();
}

dispatch::SuspectParts readHolderState(const std::string &Bytes,
                                       base::TimePoint Now) {
  dispatch::SuspectParts Out;
  wire::HolderState From;
  if (!From.ParseFromString(Bytes)) {
    base::logEvent(base::LogLevel::Warn, "holder-state-unreadable",
                   {{"bytes", Bytes.size()}});
    return Out;
  }
  for (const wire::SuspectPart &Each : From.quarantined())
    Out[{Each.part()}] = readSuspect(Each, Now);
  return Out;
}

std::optional<duties::UsageState> readUsageState(const std::string &Bytes) {
  wire::HolderState From;
  // An unreadable state is logged by readHolderState().
  if (!From.ParseFromString(Bytes))
    return std::nullopt;
  duties::UsageState Out;
  Out.SettledThrough.Value = From.settled_through();
  for (const wire::UsageReport &Each : From.usage()) {
    duties::UsageReport &New = Out.Reports.emplace_back();
    New.Window.Value = Each.window();
    New.Accepted = Each.accepted();
    for (const wire::UsageCount &Part : Each.counts())
      New.Counts[{Part.account()}] = Part.count();
  }
  return Out;
}

duties::OrderedCounts readOrderedCounts(const std::string &Bytes) {
  wire::HolderState From;
  duties::OrderedCounts Out;
  // An unreadable state is logged by readHolderState().
  if (From.ParseFromString(Bytes))
    for (const wire::OrderedTargets &Each : From.ordered())
      Out[{{Each.service()}, {Each.zone()}}] = Each.count();
  return Out;
}

void writeLoading(const LoadingModels &Loading, base::TimePoint Now,
                  wire::HolderReply &To) {
  To.set_loading_included(true);
  for (const auto &[Key, At] : Loading) {
    wire::LoadingModel &Out = *To.add_loading();
    Out.set_service(Key.first.Value);
    Out.set_model(Key.second.Value);
    auto Left = std::chrono::duration_cast<std::chrono::milliseconds>(At - Now);
    Out.set_ready_in_ms(
        static_cast<std::uint32_t>(std::max<std::int64_t>(0, Left.count())));
  }
}

LoadingModels readLoading(const wire::HolderReply &From, base::TimePoint Now) {
  LoadingModels Out;
  for (const wire::LoadingModel &Each : From.loading())
    Out[{{Each.service()}, {Each.model()}}] =
        Now + std::chrono::milliseconds(Each.ready_in_ms());
  return Out;
}

std::vector<forwarding::CreditAnswer>
readGrants(const wire::HolderReply &From) {
  std::vector<forwarding::CreditAnswer> Out;
  for (const wire::TokenGrant &Each : From.grants())
    Out.push_back(
        {{Each.account()},
         {Each.amount(), std::chrono::milliseconds(Each.retry_after_ms()),
          std::chrono::milliseconds(Each.keep_for_ms())},
         Each.request()});
  return Out;
}

} // namespace kingcuphub::control
