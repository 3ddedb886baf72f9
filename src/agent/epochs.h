#ifndef KINGCUPHUB_AGENT_EPOCHS_H
#define KINGCUPHUB_AGENT_EPOCHS_H

/// \file
/// The epochs of the `system` stream: the first record of each next number.

#include "agent/signal.h"
#include "agent/systemfeed.h"

#include <deque>

namespace kingcuphub::agent {

class Epochs final : public SystemReducer {
public:
  std::string_view name() const override { return "epochs"; }
  void reduce(base::Offset At, const wire::Record &Record) override;
  std::string save() const override;
  bool load(std::string_view Saved) override;

  /// The newest epoch and the one before; of number 0 where there is none.
  const wire::Epoch &current() const;
  const wire::Epoch &former() const;
  /// The latest epochs, oldest first.
  const std::deque<wire::Epoch> &history() const { return this->History; }

  /// The new epoch and the one before it.
  Signal<wire::Epoch, wire::Epoch> OnEpoch;

private:
  void take(const wire::Epoch &New);

  std::deque<wire::Epoch> History;
};

} // namespace kingcuphub::agent

#endif // KINGCUPHUB_AGENT_EPOCHS_H
