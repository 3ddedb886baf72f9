#include "linkmessages.h"

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

/// The account of a quantity's name.
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
                             },
                             [&To](const admission::ReturnCredit &Return) {
                               wire::TokenReturn &Out = *To.add_token_returns();
                               Out.set_account(accountOf(Return.Quantity));
                               Out.set_amount(Return.Amount);
                             }},
               Each);
}

void writeHeld(const HeldDifference &News, wire::HolderReply &To) {
  To.set_held_included(true);
  To.set_held_base(News.Base);
  To.set_held_revision(News.Revision);
  for (const auto &[Id, State] : News.Changes) {
    wire::HeldTarget &Out = *To.add_held();
    Out.set_target(Id.Value);
    Out.set_gone(!State.has_value());
    if (!State)
      continue;
    Out.set_lifetime(State->Lifetime.Value);
    for (const auto &[Model, Each] : State->Models) {
      wire::HeldModel &One = *Out.add_models();
      One.set_model(Model.Value);
      for (const base::AdapterId &Adapter : Each.Adapters)
        One.add_adapters(Adapter.Value);
    }
  }
}

HeldDifference readHeld(const wire::HolderReply &From) {
  HeldDifference Out{From.held_base(), From.held_revision(), {}};
  for (const wire::HeldTarget &Each : From.held()) {
    auto &[Id, State] = Out.Changes.emplace_back();
    Id.Value = Each.target();
    if (Each.gone())
      continue;
    State.emplace().Lifetime.Value = Each.lifetime();
    for (const wire::HeldModel &Model : Each.models()) {
      catalog::HeldModel &One = State->Models[{Model.model()}];
      for (const std::string &Adapter : Model.adapters())
        One.Adapters.insert({Adapter});
    }
  }
  return Out;
}

void writeLoading(const LoadingModels &Loading, base::TimePoint Now,
                  wire::HolderReply &To) {
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

std::vector<forwarding::CreditNews> readGrants(const wire::HolderReply &From) {
  std::vector<forwarding::CreditNews> Out;
  for (const wire::TokenGrant &Each : From.grants())
    Out.push_back(
        {{Each.account()},
         {Each.amount(), std::chrono::milliseconds(Each.retry_after_ms())},
         Each.request()});
  return Out;
}

} // namespace kingcuphub::control
