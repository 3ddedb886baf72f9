#include "agent/epochs.h"

#include "shares/epochplanner.h"

namespace kingcuphub::agent {

namespace {

constexpr std::size_t MaxHistory = 8;

} // namespace

void Epochs::reduce(base::Offset, const wire::Record &Record) {
  if (Record.has_epoch() && shares::follows(Record.epoch(), this->current()))
    this->take(Record.epoch());
}

void Epochs::take(const wire::Epoch &New) {
  wire::Epoch Former = this->current();
  this->History.push_back(New);
  if (this->History.size() > MaxHistory)
    this->History.pop_front();
  this->OnEpoch.notify(New, Former);
}

std::string Epochs::save() const {
  wire::EpochHistory To;
  for (const wire::Epoch &Each : this->History)
    *To.add_epochs() = Each;
  return To.SerializeAsString();
}

bool Epochs::load(std::string_view Saved) {
  wire::EpochHistory From;
  if (!From.ParseFromArray(Saved.data(), static_cast<int>(Saved.size())))
    return false;
  std::uint64_t Known = this->current().number();
  for (const wire::Epoch &Each : From.epochs())
    if (Each.number() > Known)
      this->take(Each);
  return true;
}

const wire::Epoch &Epochs::current() const {
  return this->History.empty() ? wire::Epoch::default_instance()
                               : this->History.back();
}

const wire::Epoch &Epochs::former() const {
  return this->History.size() < 2 ? wire::Epoch::default_instance()
                                  : this->History[this->History.size() - 2];
}

} // namespace kingcuphub::agent
