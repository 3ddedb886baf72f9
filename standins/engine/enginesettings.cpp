#include "enginesettings.h"

#include <algorithm>

namespace kingcuphub::standin {

namespace {

constexpr std::int64_t DefaultAcceleratorBytes = 1000;
constexpr std::int64_t MostBytes = std::int64_t{1} << 50;
constexpr std::int64_t MostSlots = 1000000;
constexpr double MostSlowdown = 1000;
constexpr std::chrono::milliseconds Longest(std::chrono::hours(1));
constexpr std::chrono::milliseconds Zero(0);

void readAccelerators(base::SettingsReader &Reader, EngineSettings &Out) {
  Reader.objects("accelerators", [&Out](base::SettingsReader &Each) {
    Out.AcceleratorBytes.push_back(
        Each.number("bytes", DefaultAcceleratorBytes, 1, MostBytes));
  });
  if (Out.AcceleratorBytes.empty())
    Out.AcceleratorBytes.push_back(DefaultAcceleratorBytes);
}

std::size_t readAccelerator(base::SettingsReader &Reader,
                            const EngineSettings &Engine) {
  auto Last = static_cast<std::int64_t>(Engine.AcceleratorBytes.size()) - 1;
  return static_cast<std::size_t>(Reader.number("accelerator", 0, 0, Last));
}

void readResident(base::SettingsReader &Reader, EngineSettings &Out) {
  Reader.objects("models", [&Out](base::SettingsReader &Each) {
    Out.Models.push_back({Each.requiredText("model"), Each.text("version", "1"),
                          readAccelerator(Each, Out),
                          Each.number("bytes", 1, 1, MostBytes)});
  });
  Reader.objects("adapters", [&Out](base::SettingsReader &Each) {
    Out.Adapters.push_back(
        {Each.requiredText("adapter"), Each.requiredText("model"),
         readAccelerator(Each, Out), Each.number("bytes", 1, 1, MostBytes)});
  });
}

void readWeightStore(base::SettingsReader &Reader, EngineSettings &Out) {
  std::string Text = Reader.text("weight_store", "");
  if (Text.empty())
    return;
  Out.WeightStore = base::parseEndpoint(Text);
  if (!Out.WeightStore)
    Reader.problem("weight_store", '"' + Text + '"',
                   "write an IP number and a port, as in \"127.0.0.1:80\"");
}

void readTimes(base::SettingsReader &Reader, EngineSettings &Out) {
  Out.ColdTime = Reader.millis("cold_ms", Out.ColdTime, Zero, Longest);
  Out.TokenTime = Reader.millis("token_ms", Out.TokenTime, Zero, Longest);
  Out.LoadTime = Reader.millis("load_ms", Out.LoadTime, Zero, Longest);
  Out.ReportLag = Reader.millis("report_lag_ms", Out.ReportLag, Zero, Longest);
  Out.CacheEventLag =
      Reader.millis("cache_event_lag_ms", Out.CacheEventLag, Zero, Longest);
}

} // namespace

EngineSettings readEngineSettings(base::SettingsReader &Reader) {
  EngineSettings Out;
  Out.Process = readProcessSettings(Reader, "engine");
  Out.Fencing = Reader.flag("fencing", Out.Fencing);
  readAccelerators(Reader, Out);
  Out.BatchSlots = Reader.number("batch_slots", Out.BatchSlots, 1, MostSlots);
  Out.ColdSlots = Reader.number("cold_slots", Out.ColdSlots, 1, MostSlots);
  Out.ColdSlowdown =
      Reader.real("cold_slowdown", Out.ColdSlowdown, 1, MostSlowdown);
  Out.CachePrefixes =
      Reader.number("cache_prefixes", Out.CachePrefixes, 0, MostSlots);
  Out.CacheEventGap =
      Reader.number("cache_event_gap", Out.CacheEventGap, 0, MostSlots);
  readTimes(Reader, Out);
  readWeightStore(Reader, Out);
  readResident(Reader, Out);
  Reader.object("faults", [&Out](base::SettingsReader &Faults) {
    Out.Faults = readFaults(Faults, {});
  });
  return Out;
}

} // namespace kingcuphub::standin
