#ifndef KINGCUPHUB_AGENT_SIGNAL_H
#define KINGCUPHUB_AGENT_SIGNAL_H

/// \file
/// A list of subscribers of one event, all on the control loop. Subscribers
/// live as long as the agent.

#include <functional>
#include <utility>
#include <vector>

namespace kingcuphub::agent {

template <typename... Args> class Signal {
public:
  using Subscriber = std::function<void(const Args &...)>;

  void subscribe(Subscriber New) { this->All.push_back(std::move(New)); }
  void notify(const Args &...Values) const {
    for (const Subscriber &Each : this->All)
      Each(Values...);
  }

private:
  std::vector<Subscriber> All;
};

} // namespace kingcuphub::agent

#endif // KINGCUPHUB_AGENT_SIGNAL_H
