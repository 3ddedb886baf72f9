#ifndef KINGCUPHUB_STANDINS_PLATFORM_WEIGHTSTORE_H
#define KINGCUPHUB_STANDINS_PLATFORM_WEIGHTSTORE_H

/// \file
/// The weight store: so many model loads a second, each slower where too many
/// run at once; adapters alike with limits of their own.

#include "base/clock.h"
#include "base/settings.h"
#include "http/httpserver.h"

#include <asio/io_context.hpp>
#include <chrono>
#include <string>

namespace kingcuphub::standin {

struct StoreSettings {
  double LoadsPerSecond = 1.5;
  std::int64_t FullSpeedLoads = 2;
  std::chrono::milliseconds LoadTime{200};
  std::int64_t FullSpeedAdapterLoads = 15;
  std::chrono::milliseconds AdapterLoadTime{5};
};

StoreSettings readStoreSettings(base::SettingsReader &Reader);

class WeightStore {
public:
  WeightStore(asio::io_context &Loop, const base::Clock &Clock,
              StoreSettings Settings);

  /// Answers when the weights have been fetched; `kind=adapter` in the query
  /// asks for an adapter.
  void fetch(const http::Request &Asked, http::ResponseWriterPtr Answer);
  void setDown(bool Down) { this->Down = Down; }
  void setRate(double LoadsPerSecond);
  std::size_t running() const {
    return static_cast<std::size_t>(this->ModelLoads + this->AdapterLoads);
  }

private:
  base::Duration modelLoadTime();
  base::Duration adapterLoadTime() const;

  asio::io_context &Loop;
  const base::Clock &Clock;
  StoreSettings Settings;
  bool Down = false;
  std::int64_t ModelLoads = 0;
  std::int64_t AdapterLoads = 0;
  base::TimePoint NextLoad;
};

} // namespace kingcuphub::standin

#endif // KINGCUPHUB_STANDINS_PLATFORM_WEIGHTSTORE_H
