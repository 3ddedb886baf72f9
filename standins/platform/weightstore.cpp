#include "weightstore.h"

#include "common/later.h"
#include "common/standinprocess.h"

#include <algorithm>
#include <utility>

namespace kingcuphub::standin {

namespace {

constexpr double LeastRate = 0.001;
constexpr double MostRate = 1e6;
constexpr std::int64_t MostLoads = 100000;
constexpr std::chrono::milliseconds LongestLoad(600000);

/// \p Time, proportionally longer where more than \p FullSpeed run at once.
base::Duration sharedTime(std::chrono::milliseconds Time, std::int64_t Running,
                          std::int64_t FullSpeed) {
  double Factor = std::max(1.0, static_cast<double>(Running) /
                                    static_cast<double>(FullSpeed));
  return std::chrono::duration_cast<base::Duration>(Time * Factor);
}

} // namespace

StoreSettings readStoreSettings(base::SettingsReader &Reader) {
  StoreSettings Out;
  Out.LoadsPerSecond =
      Reader.real("loads_per_second", Out.LoadsPerSecond, LeastRate, MostRate);
  Out.FullSpeedLoads =
      Reader.number("full_speed_loads", Out.FullSpeedLoads, 1, MostLoads);
  Out.LoadTime = Reader.millis("load_ms", Out.LoadTime,
                               std::chrono::milliseconds(0), LongestLoad);
  Out.FullSpeedAdapterLoads = Reader.number(
      "full_speed_adapter_loads", Out.FullSpeedAdapterLoads, 1, MostLoads);
  Out.AdapterLoadTime =
      Reader.millis("adapter_load_ms", Out.AdapterLoadTime,
                    std::chrono::milliseconds(0), LongestLoad);
  return Out;
}

WeightStore::WeightStore(asio::io_context &Loop, const base::Clock &Clock,
                         StoreSettings Settings)
    : Loop(Loop), Clock(Clock), Settings(Settings) {}

void WeightStore::setRate(double LoadsPerSecond) {
  this->Settings.LoadsPerSecond =
      std::clamp(LoadsPerSecond, LeastRate, MostRate);
}

void WeightStore::fetch(const http::Request &Asked,
                        http::ResponseWriterPtr Answer) {
  if (this->Down)
    return Answer->respond(errorResponse(503, "unavailable", "store_down",
                                         "the weight store is down"));
  bool IsAdapter = Asked.parameter("kind") == "adapter";
  std::int64_t &Running = IsAdapter ? this->AdapterLoads : this->ModelLoads;
  ++Running;
  base::Duration Time =
      IsAdapter ? this->adapterLoadTime() : this->modelLoadTime();
  runLater(this->Loop, Time, [&Running, Answer = std::move(Answer)] {
    --Running;
    Answer->respond(http::jsonResponse(200, R"({"result":"fetched"})"));
  });
}

base::Duration WeightStore::modelLoadTime() {
  base::TimePoint Now = this->Clock.now();
  base::TimePoint Start = std::max(Now, this->NextLoad);
  std::chrono::duration<double> Gap(1 / this->Settings.LoadsPerSecond);
  this->NextLoad = Start + std::chrono::duration_cast<base::Duration>(Gap);
  return Start - Now +
         sharedTime(this->Settings.LoadTime, this->ModelLoads,
                    this->Settings.FullSpeedLoads);
}

base::Duration WeightStore::adapterLoadTime() const {
  return sharedTime(this->Settings.AdapterLoadTime, this->AdapterLoads,
                    this->Settings.FullSpeedAdapterLoads);
}

} // namespace kingcuphub::standin
