#include "state/freshness.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace kingcuphub::state {

namespace {

/// An epoch is proposed only once the former one is in use, so at most two are
/// in use at a time. More are kept in case a proposer is faulty.
constexpr std::size_t MaxEpochs = 8;

} // namespace

Freshness::Freshness(Witness Self, base::Duration Bound)
    : Self(std::move(Self)), Bound(Bound) {}

void Freshness::setReduced(base::Offset Next) {
  this->Reduced = Next;
  this->learnOffset(Next);
}

void Freshness::learnOffset(base::Offset Next) {
  this->Known = std::max(this->Known, Next);
}

void Freshness::onConfigTail(base::TimePoint SentAt) {
  this->TailReadAt = std::max(this->TailReadAt.value_or(SentAt), SentAt);
  if (!this->Epochs.empty() && SentAt > this->EpochReadAt)
    this->Vouched = this->Epochs.back().Epoch;
}

void Freshness::onEpoch(WitnessSet Epoch, base::TimePoint Now) {
  if (!this->Epochs.empty() && Epoch.Epoch <= this->Epochs.back().Epoch)
    return;
  this->EpochReadAt = Now;
  this->Epochs.push_back(std::move(Epoch));
  if (this->Epochs.size() > MaxEpochs)
    this->Epochs.erase(this->Epochs.begin());
}

void Freshness::onAnswer(const PeerAnswer &Answer) {
  this->learnOffset(Answer.Known);
  for (auto &[Each, State] : this->Peers)
    if (Each.Instance == Answer.Peer.Instance && Each.Life < Answer.Peer.Life)
      State.Ended = true;
  PeerState &State = this->Peers[Answer.Peer];
  if (Answer.AskedAt < State.AskedAt)
    return;
  State.AskedAt = Answer.AskedAt;
  State.Known = std::max(State.Known, Answer.Known);
  State.Vouched = std::max(State.Vouched, Answer.Vouched);
}

void Freshness::onEnded(const Witness &Ended) {
  this->Peers[Ended].Ended = true;
}

std::vector<Witness> Freshness::witnesses() const {
  return this->Epochs.empty() ? std::vector<Witness>()
                              : this->Epochs.back().Members;
}

const Freshness::PeerState *Freshness::findPeer(const Witness &Of) const {
  auto Found = this->Peers.find(Of);
  return Found == this->Peers.end() ? nullptr : &Found->second;
}

std::optional<base::TimePoint>
Freshness::vouchedSince(const Witness &By, base::EpochNumber Epoch,
                        base::TimePoint Now) const {
  if (By == this->Self)
    return this->Vouched == Epoch && this->Known <= this->Reduced
               ? std::optional(Now)
               : std::nullopt;
  const PeerState *State = this->findPeer(By);
  if (State == nullptr || State->Ended || State->Vouched != Epoch ||
      State->Known > this->Reduced)
    return std::nullopt;
  return State->AskedAt;
}

std::optional<base::TimePoint> Freshness::provenBy(const WitnessSet &Set,
                                                   base::TimePoint Now) const {
  std::vector<base::TimePoint> Since;
  for (const Witness &Each : Set.Members)
    if (auto At = this->vouchedSince(Each, Set.Epoch, Now))
      Since.push_back(*At);
  std::size_t Needed = majorityOf(Set.Members.size());
  if (Since.size() < Needed)
    return std::nullopt;
  std::sort(Since.begin(), Since.end(), std::greater<>());
  return Since[Needed - 1];
}

FreshnessProof Freshness::proof(base::TimePoint Now) const {
  std::optional<base::TimePoint> Best = this->TailReadAt;
  for (const WitnessSet &Set : this->Epochs)
    if (auto At = this->provenBy(Set, Now); At && (!Best || *At > *Best))
      Best = At;
  if (Best && Now - *Best <= this->Bound)
    return {Best, {}};
  return {std::nullopt, this->reason(Now)};
}

std::string Freshness::reason(base::TimePoint Now) const {
  std::string Out = "the end of the log was not read recently";
  if (this->Known > this->Reduced)
    return Out + ", and a newer configuration exists (offset " +
           std::to_string(this->Known.Value) + ", this instance has " +
           std::to_string(this->Reduced.Value) +
           "); check the connections to the log and to the peers";
  if (this->Epochs.empty())
    return Out +
           ", and no epoch has named witnesses yet; check the platform's log";
  const WitnessSet &Newest = this->Epochs.back();
  std::size_t Answering =
      std::count_if(Newest.Members.begin(), Newest.Members.end(),
                    [this, Now, &Newest](const Witness &Each) {
                      auto At = this->vouchedSince(Each, Newest.Epoch, Now);
                      return At && Now - *At <= this->Bound;
                    });
  return Out + ", and only " + std::to_string(Answering) + " of " +
         std::to_string(Newest.Members.size()) +
         " witnesses answer; check the connections to the log and to the peers";
}

bool Freshness::acknowledges(const Witness &By, base::EpochNumber Epoch,
                             base::Offset Next) const {
  if (By == this->Self)
    return this->Known >= Next || this->Vouched > Epoch;
  const PeerState *State = this->findPeer(By);
  return State != nullptr &&
         (State->Ended || State->Known >= Next || State->Vouched > Epoch);
}

std::vector<base::InstanceId> Freshness::waitingFor(base::Offset Next) const {
  std::vector<base::InstanceId> Out;
  for (const WitnessSet &Set : this->Epochs) {
    std::vector<base::InstanceId> Missing;
    for (const Witness &Each : Set.Members)
      if (!this->acknowledges(Each, Set.Epoch, Next))
        Missing.push_back(Each.Instance);
    if (Set.Members.size() - Missing.size() < majorityOf(Set.Members.size()))
      Out.insert(Out.end(), Missing.begin(), Missing.end());
  }
  std::sort(Out.begin(), Out.end());
  Out.erase(std::unique(Out.begin(), Out.end()), Out.end());
  return Out;
}

} // namespace kingcuphub::state
