#include "peerpart.h"

#include "base/log.h"

#include <algorithm>
#include <utility>

namespace kingcuphub::agent {

namespace {

using namespace std::chrono_literals;

constexpr std::chrono::milliseconds TickInterval{100};
constexpr std::chrono::milliseconds ListInterval{2000};
/// The list counts as the platform's word for this long.
constexpr std::chrono::seconds ListTrust{10};
/// A read of the log's tail that is younger needs no witnesses.
constexpr std::chrono::milliseconds LogFreshFor{1500};
/// Peers are looked for this long before the first epoch is proposed.
constexpr std::chrono::seconds Settling{2};
/// Bounds the wait for the epoch that leaves this instance out.
constexpr std::chrono::seconds LeaveTimeout{8};

membership::MemberName memberOf(const Identity &Self) {
  return {Self.Instance, Self.Life, Self.Zone};
}

state::Witness witnessOf(const membership::MemberName &Name) {
  return {Name.Instance, Name.Incarnation};
}

shares::Settings sharesSettings(const AgentSettings &From) {
  shares::Settings Out;
  Out.FreshnessBound = From.Freshness;
  return Out;
}

} // namespace

PeerPart::PeerPart(AgentContext &Context)
    : Context(Context), Self(memberOf(Context.Self)),
      Members(this->Self, Context.Self.Deployment, {},
              std::mt19937_64(std::random_device()())),
      Fresh(Context.Freshness.decision()),
      Part(this->Self, sharesSettings(Context.Settings)),
      Planner(this->Self, {}), EpochRecords(Context.EpochRecords),
      Links(
          Context.Messaging,
          [this](std::string_view Bytes) { this->onMessage(nullptr, Bytes); }),
      Limits(Context.Config, this->Part),
      Credit(Context.Clock, this->Part,
             [this](const shares::Commands &All) { this->carryOut(All); }),
      StartedAt(Context.Clock.now()), Alive(std::make_shared<bool>(true)),
      TickTimer(Context.Loop, TickInterval, [this] { this->tick(); }),
      ListTimer(Context.Loop, ListInterval, [this] { this->listInstances(); }) {
}

PeerPart::~PeerPart() { *this->Alive = false; }

void PeerPart::start() {
  this->Context.Peers.setHandler(
      [this](const messaging::ClientName &From, std::string_view Bytes) {
        this->onMessage(&From, Bytes);
      });
  this->EpochRecords.OnEpoch.subscribe(
      [this](const wire::Epoch &New, const wire::Epoch &Former) {
        this->onEpoch(New, Former);
      });
  this->Context.Config.OnReduced.subscribe([this](const ReducedRecord &Record) {
    if (std::holds_alternative<state::Accepted>(Record.Verdict))
      this->onConfig();
  });
  this->Context.Config.OnChanged.subscribe(
      [this](const state::ConfigPtr &) { this->onConfig(); });
  this->Context.GatewayLink.setCreditSource(this->Credit);
  this->Context.InstanceReach.setSource([this] { return this->offsets(); });
  this->listInstances();
  this->TickTimer.start();
  this->ListTimer.start();
}

void PeerPart::stop(std::function<void()> Done) {
  this->Stopped = std::move(Done);
  this->StopBy = this->Context.Clock.now() + LeaveTimeout;
  this->carryOut(this->Members.leave(), nullptr);
}

void PeerPart::finishStop() {
  if (!this->Stopped)
    return;
  bool Alone = this->Part.epoch().Members.size() <= 1;
  bool Out = !this->Part.epoch().contains(this->Self) && this->Part.confirmed();
  if (!Alone && !Out && this->Context.Clock.now() < this->StopBy)
    return;
  this->TickTimer.stop();
  this->ListTimer.stop();
  std::exchange(this->Stopped, nullptr)();
}

bool PeerPart::refused(const wire::PeerMessage &Message) {
  if (Message.deployment() == this->Context.Self.Deployment)
    return false;
  ++this->RefusedMessages;
  base::logEvent(base::LogLevel::Warn, "peer_of_another_deployment",
                 {{"peer", Message.from().instance()},
                  {"deployment", Message.deployment()},
                  {"remedy", "give each deployment its own peer keys and "
                             "instance list"}});
  return true;
}

void PeerPart::onMessage(const messaging::ClientName *Client,
                         std::string_view Bytes) {
  wire::PeerMessage Message;
  if (!Message.ParseFromArray(Bytes.data(), static_cast<int>(Bytes.size()))) {
    ++this->RefusedMessages;
    base::logEvent(base::LogLevel::Warn, "peer_message_malformed");
    return;
  }
  if (this->refused(Message))
    return;
  base::TimePoint Now = this->Context.Clock.now();
  this->carryOut(this->Members.receive(Message, Now), Client);
  this->noteAnswer(Message);
  this->carryOut(this->Part.receive(Message, Now));
}

void PeerPart::noteAnswer(const wire::PeerMessage &Message) {
  if (Message.has_heartbeat())
    this->Fresh.learnOffset({Message.heartbeat().config_offset()});
  if (!Message.has_heartbeat_ack())
    return;
  membership::MemberName From = membership::parseMember(Message.from());
  const membership::MemberView *View = this->Members.find(From.Instance);
  if (View == nullptr || View->Name != From || !View->ExchangedAt)
    return;
  this->Fresh.onAnswer({witnessOf(From), *View->ExchangedAt,
                        View->ReportedVersions.Config,
                        View->ReportedVersions.Epoch});
}

void PeerPart::noteMember(const membership::MemberChanged &Change) {
  base::logEvent(base::LogLevel::Info, "member_changed",
                 {{"member", Change.Member.Instance.Value},
                  {"incarnation", Change.Member.Incarnation.Value},
                  {"status", membership::statusName(Change.Status)}});
  // Every earlier life at this address is over.
  for (const state::Witness &Each : this->Fresh.witnesses())
    if (Each.Instance == Change.Member.Instance &&
        Each.Life < Change.Member.Incarnation)
      this->Fresh.onEnded(Each);
}

void PeerPart::carryOut(const membership::Commands &All,
                        const messaging::ClientName *Client) {
  for (const membership::Command &Each : All) {
    if (const auto *Sent = std::get_if<membership::SendHeartbeat>(&Each))
      this->Links.send(Sent->To, Sent->Message, this->Context.Clock.now());
    else if (const auto *Back = std::get_if<membership::Answer>(&Each)) {
      if (Client != nullptr)
        this->Context.Peers.server().send(*Client,
                                          Back->Message.SerializeAsString());
    } else if (const auto *Silent = std::get_if<membership::Reconnect>(&Each))
      this->Links.reconnect(Silent->To);
    else if (const auto *News = std::get_if<membership::MemberChanged>(&Each))
      this->noteMember(*News);
  }
}

void PeerPart::carryOut(const shares::Commands &All) {
  for (const shares::Command &Each : All) {
    if (const auto *Sent = std::get_if<shares::SendToPeer>(&Each)) {
      wire::PeerMessage Message = Sent->Message;
      Message.set_deployment(this->Context.Self.Deployment);
      this->Links.send(Sent->To.Instance, Message, this->Context.Clock.now());
    } else if (const auto *Came = std::get_if<shares::Available>(&Each)) {
      this->Credit.onAvailable(Came->Quantity);
    }
  }
}

void PeerPart::tick() {
  base::TimePoint Now = this->Context.Clock.now();
  this->Members.setVersions(
      {this->Fresh.known(), this->Fresh.vouched(), this->inForce()});
  this->pollWitnesses();
  this->carryOut(this->Members.tick(Now), nullptr);
  this->agree();
  this->proveShares();
  this->carryOut(this->Part.tick(Now));
  this->Credit.onTimer();
  this->watchGateways();
  this->propose();
  this->Links.closeIdle(Now);
  this->finishStop();
}

void PeerPart::listInstances() {
  this->Context.Instances.list(
      [this, Live = this->Alive](
          const base::Result<std::vector<logservice::ListedInstance>> &List) {
        if (!*Live || !List)
          return;
        std::vector<membership::ListedInstance> All;
        this->Listed.clear();
        for (const logservice::ListedInstance &Each : *List) {
          All.push_back({Each.Instance, Each.Zone, Each.Leaving});
          this->Listed.insert(Each.Instance);
        }
        this->ListedAt = this->Context.Clock.now();
        this->Members.setListed(std::move(All));
      });
}

void PeerPart::onConfig() { this->Limits.update(this->Context.Clock.now()); }

void PeerPart::onEpoch(const wire::Epoch &New, const wire::Epoch &Former) {
  base::TimePoint Now = this->Context.Clock.now();
  this->Agreement.learnEpoch(New, Former);
  this->carryOut(this->Part.learnEpoch(New, Former, Now));
  base::logEvent(base::LogLevel::Info, "epoch",
                 {{"number", New.number()},
                  {"members", New.members_size()},
                  {"included", this->Part.epoch().contains(this->Self)}});
}

bool PeerPart::logFresh() const {
  auto Read = this->Context.System.provenAt();
  return Read && this->Context.Clock.now() - *Read < LogFreshFor;
}

void PeerPart::propose() {
  base::TimePoint Now = this->Context.Clock.now();
  if (this->Stopped || this->Proposing || !this->logFresh() ||
      Now - this->StartedAt < Settling || !this->Context.Config.provenAt())
    return;
  auto New = this->Planner.plan(this->Members.live(),
                                this->EpochRecords.current(), Now);
  if (!New)
    return;
  this->Proposing = true;
  wire::Record Record;
  *Record.mutable_epoch() = *New;
  this->Context.System.append(
      std::move(Record),
      [this, Live = this->Alive](const base::Result<base::Offset> &) {
        if (*Live)
          this->Proposing = false;
      });
}

std::optional<base::TimePoint> PeerPart::witnessesProveEpoch() const {
  base::EpochNumber Number{this->EpochRecords.current().number()};
  std::vector<base::TimePoint> Answers;
  std::vector<state::Witness> All = this->Fresh.witnesses();
  for (const state::Witness &Each : All) {
    const membership::MemberView *View = this->Members.find(Each.Instance);
    if (Each == witnessOf(this->Self) && this->Fresh.vouched() == Number)
      Answers.push_back(this->Context.Clock.now());
    else if (View != nullptr && witnessOf(View->Name) == Each &&
             View->ExchangedAt && View->ReportedVersions.Epoch == Number)
      Answers.push_back(*View->ExchangedAt);
  }
  std::size_t Needed = state::majorityOf(All.size());
  if (All.empty() || Answers.size() < Needed)
    return std::nullopt;
  std::sort(Answers.begin(), Answers.end(), std::greater<>());
  return Answers[Needed - 1];
}

void PeerPart::proveShares() {
  // Both the configuration and the epoch must be the newest.
  auto Config = this->Fresh.proof(this->Context.Clock.now()).At;
  auto Epoch =
      std::max(this->Context.System.provenAt(), this->witnessesProveEpoch());
  if (Config && Epoch && this->Context.Config.readable())
    this->Part.setProven(std::min(*Config, *Epoch));
  std::set<base::InstanceId> Gone;
  for (const membership::MemberView &Each : this->Members.peers())
    if (Each.Status != membership::MemberStatus::Alive)
      Gone.insert(Each.Name.Instance);
  this->Part.setUnreachable(std::move(Gone));
}

std::optional<shares::AgreedVersions>
PeerPart::knownBy(const membership::MemberName &Name) const {
  constexpr shares::AgreedVersions Everything{{UINT64_MAX}, {UINT64_MAX}};
  if (Name == this->Self)
    return shares::AgreedVersions{this->Fresh.vouched(), this->Fresh.known()};
  const membership::MemberView *View = this->Members.find(Name.Instance);
  bool ListIsNew =
      this->ListedAt && this->Context.Clock.now() - *this->ListedAt < ListTrust;
  bool Unlisted = ListIsNew && this->Listed.count(Name.Instance) == 0;
  // Gone by the platform's word and by its own silence, or replaced.
  if (View == nullptr)
    return Unlisted ? std::optional(Everything) : std::nullopt;
  if (View->Name.Incarnation > Name.Incarnation)
    return Everything;
  if (Unlisted && View->Status == membership::MemberStatus::Dead)
    return Everything;
  return shares::AgreedVersions{View->ReportedVersions.Epoch,
                                View->ReportedVersions.Config};
}

void PeerPart::agree() {
  this->Agreed =
      this->Agreement.update([this](const membership::MemberName &Name) {
        return this->knownBy(Name);
      });
  this->Part.setAgreed(this->Agreed, this->Context.Clock.now());
}

void PeerPart::pollWitnesses() {
  bool Behind =
      this->Agreed.Epoch.Value < this->EpochRecords.current().number() ||
      this->Agreed.Config < this->Fresh.known();
  std::set<base::InstanceId> Asked;
  if (Behind || !this->logFresh())
    for (const state::Witness &Each : this->Fresh.witnesses())
      if (Each.Instance != this->Self.Instance)
        Asked.insert(Each.Instance);
  this->Members.setPolled(std::move(Asked));
}

void PeerPart::watchGateways() {
  bool Has = this->Context.GatewayLink.connected() > 0;
  bool Gone = std::exchange(this->HadGateway, Has) && !Has;
  base::Incarnation Life = this->Context.GatewayLink.newestLife();
  base::Incarnation Former = std::exchange(this->GatewayLife, Life);
  bool Replaced = Former.Value != 0 && Former != Life;
  if (Gone || Replaced)
    this->Part.voidCredits(this->Context.Clock.now());
}

/// What the gateway does not know yet is not in force here.
base::Offset PeerPart::inForce() const {
  base::Offset Own = this->Context.Config.config()->Next;
  return std::min(Own, this->Context.GatewayLink.reduced().value_or(Own));
}

InstanceOffsets PeerPart::offsets() const {
  InstanceOffsets Out{{this->Self.Instance, this->inForce()}};
  for (const membership::MemberView &Each : this->Members.peers())
    if (Each.Status == membership::MemberStatus::Alive ||
        Each.Status == membership::MemberStatus::Suspect)
      Out[Each.Name.Instance] = Each.ReportedVersions.Reduced;
  return Out;
}

nlohmann::json PeerPart::status() const {
  nlohmann::json Known = nlohmann::json::array();
  for (const membership::MemberView &Each : this->Members.peers())
    Known.push_back({{"instance", Each.Name.Instance.Value},
                     {"zone", Each.Name.Zone.Value},
                     {"status", membership::statusName(Each.Status)}});
  messaging::TrafficCount Out = this->Links.traffic();
  messaging::TrafficCount In = this->Context.Peers.server().traffic();
  state::FreshnessProof Proof = this->Fresh.proof(this->Context.Clock.now());
  return {{"members", std::move(Known)},
          {"epoch", this->EpochRecords.current().number()},
          {"epoch_members", this->EpochRecords.current().members_size()},
          {"included", this->Part.epoch().contains(this->Self)},
          {"settled", this->Part.settled()},
          {"vouched_epoch", this->Fresh.vouched().Value},
          {"fresh", Proof.At.has_value()},
          {"fresh_reason", Proof.Reason},
          {"refused_messages", this->RefusedMessages},
          {"refused_keys", this->Context.Messaging.refusedKeys()},
          {"connections", this->Links.open()},
          {"bytes_sent", Out.BytesOut + In.BytesOut},
          {"bytes_received", Out.BytesIn + In.BytesIn},
          {"messages_sent", Out.MessagesOut + In.MessagesOut},
          {"dropped", Out.Dropped + In.Dropped}};
}

} // namespace kingcuphub::agent
