#include "batch.h"

#include "common/later.h"

#include <algorithm>
#include <utility>

namespace kingcuphub::standin {

Batch::Batch(asio::io_context &Loop, const base::Clock &Clock,
             const EngineSettings &Settings)
    : Loop(Loop), Clock(Clock), Settings(Settings), Faults(Settings.Faults),
      StartedAt(Clock.now()) {}

std::int64_t Batch::running() const {
  return static_cast<std::int64_t>(this->Running.size());
}

std::int64_t Batch::waiting() const {
  return static_cast<std::int64_t>(this->Waiting.size());
}

bool Batch::cold() const {
  bool Starting = this->Clock.now() < this->StartedAt + this->Settings.ColdTime;
  return this->Faults.Cold.value_or(Starting);
}

std::int64_t Batch::nowMs() const {
  return this->Clock.wallNow().time_since_epoch().count();
}

base::Duration Batch::tokenTime() const {
  auto Time = std::chrono::duration_cast<base::Duration>(
      this->Faults.TokenTime.value_or(this->Settings.TokenTime));
  if (!this->cold())
    return Time;
  double Crowding = static_cast<double>(this->running()) /
                    static_cast<double>(this->Settings.ColdSlots);
  double Factor = this->Settings.ColdSlowdown * std::max(1.0, Crowding);
  return std::chrono::duration_cast<base::Duration>(Time * Factor);
}

void Batch::add(std::shared_ptr<Generation> New) {
  auto Each = std::make_shared<Entry>();
  Each->Work = std::move(New);
  Each->Work->answer()->onClosed([this, Weak = std::weak_ptr<Entry>(Each)] {
    if (EntryPtr Held = Weak.lock())
      this->end(Held, true);
  });
  std::int64_t Priority = Each->Work->asked().Priority;
  auto Place = std::find_if(this->Waiting.begin(), this->Waiting.end(),
                            [Priority](const EntryPtr &Other) {
                              return Other->Work->asked().Priority > Priority;
                            });
  this->Waiting.insert(Place, Each);
  this->startWaiting();
}

void Batch::startWaiting() {
  while (!this->Waiting.empty() &&
         this->running() < this->Settings.BatchSlots) {
    EntryPtr Next = this->Waiting.front();
    this->Waiting.pop_front();
    this->start(Next);
  }
}

void Batch::start(const EntryPtr &Each) {
  this->Running.push_back(Each);
  Each->Execution = this->Executions.begin(Each->Work->asked(), this->nowMs());
  this->Executions.noteRunning(this->running(), this->cold());
  runLater(this->Loop, Each->Work->faults().Delay, [this, Each] {
    if (Each->Ended)
      return;
    Each->Work->begin();
    this->scheduleToken(Each);
  });
}

void Batch::scheduleToken(const EntryPtr &Each) {
  // A silent request keeps its connection and, as a hung one, its slot.
  if (Each->Work->silentNow())
    return;
  if (Each->Work->dropNow()) {
    this->end(Each, false);
    return Each->Work->answer()->abort();
  }
  runLater(this->Loop, this->tokenTime(),
           [this, Each] { this->makeToken(Each); });
}

void Batch::makeToken(const EntryPtr &Each) {
  if (Each->Ended)
    return;
  if (Each->Work->makeToken())
    return this->scheduleToken(Each);
  if (Each->Work->silentNow())
    return;
  this->end(Each, false);
  Each->Work->finish();
}

void Batch::end(const EntryPtr &Each, bool Cancelled) {
  if (std::exchange(Each->Ended, true))
    return;
  this->Waiting.remove(Each);
  if (this->Running.remove(Each) > 0)
    this->Executions.end(Each->Execution, this->nowMs(), Each->Work->made(),
                         Cancelled);
  this->startWaiting();
}

Batch::EntryPtr Batch::findIn(const std::list<EntryPtr> &Entries,
                              const std::string &RequestId) {
  auto Found = std::find_if(
      Entries.begin(), Entries.end(), [&RequestId](const EntryPtr &Each) {
        return Each->Work->asked().Source.RequestId == RequestId;
      });
  return Found == Entries.end() ? nullptr : *Found;
}

const Generation *Batch::find(const std::string &RequestId) const {
  EntryPtr Found = findIn(this->Running, RequestId);
  if (Found == nullptr)
    Found = findIn(this->Waiting, RequestId);
  return Found == nullptr ? nullptr : Found->Work.get();
}

bool Batch::cancel(const std::string &RequestId) {
  EntryPtr Found = findIn(this->Running, RequestId);
  if (Found == nullptr)
    Found = findIn(this->Waiting, RequestId);
  if (Found == nullptr)
    return false;
  this->end(Found, true);
  Found->Work->answer()->abort();
  return true;
}

bool Batch::uses(const std::string &Model) const {
  return std::any_of(this->Running.begin(), this->Running.end(),
                     [&Model](const EntryPtr &Each) {
                       return Each->Work->asked().Source.Model == Model;
                     });
}

} // namespace kingcuphub::standin
