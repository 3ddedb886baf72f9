#include "catalog/catalogcheck.h"

#include <algorithm>
#include <set>
#include <utility>

namespace kingcuphub::catalog {

namespace {

using std::chrono::milliseconds;

std::string text(milliseconds Time) {
  return std::to_string(Time.count()) + " ms";
}

/// Collects what is found about one entry.
class EntryCheck {
public:
  EntryCheck(std::vector<Finding> &To, std::string Entry)
      : To(To), Entry(std::move(Entry)) {}

  void error(bool Found, std::string Problem, std::string Remedy) {
    this->add(Found, Severity::Error, std::move(Problem), std::move(Remedy));
  }
  void warning(bool Found, std::string Problem, std::string Remedy) {
    this->add(Found, Severity::Warning, std::move(Problem), std::move(Remedy));
  }

private:
  void add(bool Found, Severity How, std::string Problem, std::string Remedy) {
    if (Found)
      this->To.push_back(
          {How, this->Entry, std::move(Problem), std::move(Remedy)});
  }

  std::vector<Finding> &To;
  std::string Entry;
};

void checkSplit(const Catalog &Of, const Route &Each, EntryCheck &Check) {
  Check.error(Each.Services.empty(), "names no service", "name one");
  std::int64_t Sum = 0;
  for (const WeightedService &Part : Each.Services)
    Sum += Part.Weight;
  for (const WeightedService &Part : Each.Services) {
    Check.error(Of.service(Part.Service) == nullptr,
                "service " + Part.Service.Value + " does not exist",
                "add the service or name another one");
    Check.warning(Part.Weight == 0 && Sum > 0,
                  "service " + Part.Service.Value +
                      " has weight 0 and gets "
                      "no requests",
                  "remove it or give it a weight");
  }
}

void checkRouteLimits(const Route &Each, EntryCheck &Check) {
  Check.error(Each.Timeout <= milliseconds(0), "no time is allowed",
              "set a timeout above 0");
  Check.error(Each.Objective > Each.Timeout,
              "the objective of " + text(Each.Objective) +
                  " is above the timeout of " + text(Each.Timeout),
              "no answer can come between the two: raise the timeout");
  Check.warning(Each.Streaming && Each.PauseObjective > Each.Timeout,
                "the longest pause of " + text(Each.PauseObjective) +
                    " is above the timeout of " + text(Each.Timeout),
                "lower it to be told of late events");
  Check.warning(Each.MaxAttempts > 1 && Each.Repeats == Repetition::Never,
                "up to " + std::to_string(Each.MaxAttempts) +
                    " attempts are allowed, but its requests may run once",
                "set 1 attempt, or a type that may be repeated");
  Check.warning(Each.MaxAttempts == 1 && Each.Repeats == Repetition::Resumable,
                "its streams can be resumed, but 1 attempt is allowed",
                "allow 2 attempts or more");
}

void checkRoutes(const Catalog &Of, std::vector<Finding> &To) {
  std::set<base::RouteId> Names;
  std::map<std::pair<std::string, std::string>, base::RouteId> Places;
  for (const Route &Each : Of.Routes) {
    EntryCheck Check(To, "route " + Each.Id.Value);
    Check.error(!Names.insert(Each.Id).second, "the name occurs twice",
                "rename one of the routes");
    Check.error(Each.Host.empty(), "has no host and matches no request",
                "name the host");
    bool Slashes =
        Each.PathPrefix.starts_with('/') && Each.PathPrefix.ends_with('/');
    Check.error(!Slashes,
                "the prefix '" + Each.PathPrefix +
                    "' does not begin and end with a slash",
                "write it as /" + Each.PathPrefix + "/");
    auto [First, IsNew] =
        Places.try_emplace({Each.Host, Each.PathPrefix}, Each.Id);
    Check.error(!IsNew,
                "never matches: route " + First->second.Value +
                    " has the same host and prefix",
                "remove one of them or change its prefix");
    checkSplit(Of, Each, Check);
    checkRouteLimits(Each, Check);
  }
}

void checkModels(const Engine &Kind, const std::string &Service,
                 std::vector<Finding> &To) {
  for (const auto &[Id, Each] : Kind.Models) {
    EntryCheck Check(To, "model " + Service + "/" + Id.Value);
    Check.error(Each.WeightsMb > Kind.WeightsMb,
                "is larger than the memory of an engine",
                "no engine can load it: remove it or use larger engines");
    Check.error(Each.Adapters > 0 && Kind.AdapterSlots == 0,
                "has adapters, but engines have no places for them",
                "give the engines places for adapters");
    Check.error(Each.Adapters > 0 && Each.WeightsMb <= Kind.WeightsMb &&
                    Each.WeightsMb + Each.AdapterMb > Kind.WeightsMb,
                "leaves an engine no memory for any of its adapters",
                "use larger engines or smaller adapters");
  }
}

void checkServices(const Catalog &Of, std::vector<Finding> &To) {
  std::set<ServiceId> Named;
  for (const Route &Each : Of.Routes)
    for (const WeightedService &Part : Each.Services)
      Named.insert(Part.Service);
  for (const auto &[Id, Each] : Of.Services) {
    EntryCheck Check(To, "service " + Id.Value);
    Check.warning(Named.count(Id) == 0, "no route leads to it",
                  "add a route or remove the service");
    Check.error(Each.ColdStart > milliseconds(0) &&
                    Each.ColdRequestsPerSecond <= 0,
                "its targets are cold for " + text(Each.ColdStart) +
                    " and take no requests then",
                "set the rate that a cold target takes");
    Check.error(Each.Scaling && Each.Scaling->Max == 0,
                "may have no target in any zone", "raise the maximum");
    Check.warning(Each.Scaling && !Each.Engine,
                  "the number of its targets is never ordered, as it has no "
                  "engines",
                  "remove its scaling");
    if (!Each.Engine)
      continue;
    Check.error(Each.Engine->BatchSlots == 0, "its engines run no requests",
                "set their slots");
    Check.error(
        Each.Engine->StoreLoadsPerSecond <= 0 && !Each.Engine->Models.empty(),
        "its models can never be loaded", "set the rate of the weight store");
    checkModels(*Each.Engine, Id.Value, To);
  }
}

void checkAccounts(const Catalog &Of, std::vector<Finding> &To) {
  std::set<base::AccountId> WithKeys;
  for (const auto &[Hash, Account] : Of.AccountByKeyHash)
    WithKeys.insert(Account);
  bool AllPublic = std::all_of(Of.Routes.begin(), Of.Routes.end(),
                               [](const Route &Each) { return Each.Public; });
  for (const auto &[Id, Each] : Of.Accounts) {
    EntryCheck Check(To, "account " + Id.Value);
    Check.warning(WithKeys.count(Id) == 0, "has no key and admits nobody",
                  "give it a key or remove it");
    Check.warning(AllPublic && !Of.Routes.empty(), "no route asks for a key",
                  "make a route non-public");
    Check.warning(Each.RatePerSecond <= 0 && Each.Burst > 0,
                  "has a burst but no rate, and so no limit", "set the rate");
    bool Limited = Each.RatePerSecond > 0;
    Check.error(Limited && Each.CountsTokens &&
                    Each.RatePerSecond + Each.Burst <
                        static_cast<double>(Each.DefaultTokens),
                "a request that states no tokens is charged " +
                    std::to_string(Each.DefaultTokens) +
                    ", more than rate and burst allow in a second",
                "raise the burst or charge less");
  }
}

using Fields = std::map<std::string, std::string>;
using Entries = std::map<std::string, Fields>;

std::string text(double Number) {
  std::string Out = std::to_string(Number);
  Out.erase(Out.find_last_not_of('0') + 1);
  if (Out.ends_with('.'))
    Out.pop_back();
  return Out;
}

std::string text(bool Value) { return Value ? "yes" : "no"; }

std::string_view nameOf(Repetition Repeats) {
  switch (Repeats) {
  case Repetition::Idempotent:
    return "any number of times";
  case Repetition::Never:
    return "once";
  case Repetition::Resumable:
    return "resumed";
  }
  return "";
}

Fields fieldsOf(const Route &Of) {
  std::string Services;
  for (const WeightedService &Each : Of.Services)
    Services += (Services.empty() ? "" : ", ") + Each.Service.Value + " x " +
                std::to_string(Each.Weight);
  return {{"host", Of.Host},
          {"prefix", Of.PathPrefix},
          {"services", Services},
          {"runs", std::string(nameOf(Of.Repeats))},
          {"streaming", text(Of.Streaming)},
          {"public", text(Of.Public)},
          {"timeout", text(Of.Timeout)},
          {"objective", text(Of.Objective)},
          {"longest pause", text(Of.PauseObjective)},
          {"priority", std::to_string(Of.Priority)},
          {"attempts", std::to_string(Of.MaxAttempts)}};
}

Fields fieldsOf(const Service &Of) {
  Fields Out = {{"health path", Of.HealthPath},
                {"connections", std::to_string(Of.MaxConnections)},
                {"cold start", text(Of.ColdStart)},
                {"cold requests per second", text(Of.ColdRequestsPerSecond)}};
  if (Of.Scaling)
    Out["targets in a zone"] = std::to_string(Of.Scaling->Min) + " to " +
                               std::to_string(Of.Scaling->Max);
  if (Of.Engine) {
    Out["slots"] = std::to_string(Of.Engine->BatchSlots);
    Out["memory for tokens"] = std::to_string(Of.Engine->Memory.Value);
    Out["memory for weights"] = text(Of.Engine->WeightsMb) + " MB";
    Out["places for adapters"] = std::to_string(Of.Engine->AdapterSlots);
    Out["loads per second"] = text(Of.Engine->StoreLoadsPerSecond);
  }
  return Out;
}

Fields fieldsOf(const Model &Of) {
  return {{"weights", text(Of.WeightsMb) + " MB"},
          {"adapters", std::to_string(Of.Adapters)},
          {"adapter size", text(Of.AdapterMb) + " MB"},
          {"load", text(Of.StoreLoad)},
          {"load from disk", text(Of.DiskLoad)},
          {"load from memory", text(Of.MemoryLoad)}};
}

Fields fieldsOf(const Account &Of, const std::set<std::string> &KeyHashes) {
  Fields Out = {{"rate", text(Of.RatePerSecond)},
                {"burst", text(Of.Burst)},
                {"counts tokens", text(Of.CountsTokens)},
                {"tokens of a request without a number",
                 std::to_string(Of.DefaultTokens)}};
  if (Of.Priority)
    Out["priority"] = std::to_string(*Of.Priority);
  for (const std::string &Each : KeyHashes)
    Out["key " + Each] = "";
  return Out;
}

Entries entriesOf(const Catalog &Of) {
  Entries Out;
  for (const Route &Each : Of.Routes)
    Out["route " + Each.Id.Value] = fieldsOf(Each);
  for (const auto &[Id, Each] : Of.Services) {
    Out["service " + Id.Value] = fieldsOf(Each);
    if (Each.Engine)
      for (const auto &[Model, Kind] : Each.Engine->Models)
        Out["model " + Id.Value + "/" + Model.Value] = fieldsOf(Kind);
  }
  std::map<base::AccountId, std::set<std::string>> Keys;
  for (const auto &[Hash, Account] : Of.AccountByKeyHash)
    Keys[Account].insert(Hash);
  for (const auto &[Id, Each] : Of.Accounts)
    Out["account " + Id.Value] = fieldsOf(Each, Keys[Id]);
  return Out;
}

void compareFields(const std::string &Entry, const Fields &Before,
                   const Fields &After, std::vector<Difference> &To) {
  Fields All = After;
  All.insert(Before.begin(), Before.end());
  unsigned KeysAdded = 0;
  unsigned KeysRemoved = 0;
  for (const auto &[Name, Value] : All) {
    auto Old = Before.find(Name);
    auto New = After.find(Name);
    if (Name.starts_with("key ")) {
      KeysAdded += Old == Before.end() ? 1 : 0;
      KeysRemoved += New == After.end() ? 1 : 0;
      continue;
    }
    std::string From = Old == Before.end() ? "none" : Old->second;
    std::string Into = New == After.end() ? "none" : New->second;
    if (From != Into)
      To.push_back(
          {ChangeKind::Changed, Entry, Name + ": " + From + " -> " + Into});
  }
  if (KeysAdded + KeysRemoved > 0)
    To.push_back({ChangeKind::Changed, Entry,
                  "keys: " + std::to_string(KeysAdded) + " added, " +
                      std::to_string(KeysRemoved) + " removed"});
}

} // namespace

std::vector<Finding> checkCatalog(const Catalog &Checked) {
  std::vector<Finding> Out;
  checkRoutes(Checked, Out);
  checkServices(Checked, Out);
  checkAccounts(Checked, Out);
  return Out;
}

std::vector<Difference> compareCatalogs(const Catalog &Before,
                                        const Catalog &After) {
  std::vector<Difference> Out;
  Entries Old = entriesOf(Before);
  Entries New = entriesOf(After);
  for (const auto &[Name, Each] : Old)
    if (New.count(Name) == 0)
      Out.push_back({ChangeKind::Removed, Name, ""});
  for (const auto &[Name, Each] : New)
    if (auto Found = Old.find(Name); Found == Old.end())
      Out.push_back({ChangeKind::Added, Name, ""});
    else
      compareFields(Name, Found->second, Each, Out);
  return Out;
}

} // namespace kingcuphub::catalog
