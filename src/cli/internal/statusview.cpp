#include "cli/statusview.h"

#include "base/table.h"
#include "cli/command.h"

#include <algorithm>
#include <set>

namespace kingcuphub::cli {

namespace {

bool flagOf(const nlohmann::json &Object, const char *Name, bool Default) {
  auto Found = Object.find(Name);
  return Found != Object.end() && Found->is_boolean() ? Found->get<bool>()
                                                      : Default;
}

std::string join(const nlohmann::json &Names) {
  std::string Out;
  for (const nlohmann::json &Each : Names)
    if (Each.is_string())
      Out += (Out.empty() ? "" : ", ") + Each.get<std::string>();
  return Out.empty() ? "-" : Out;
}

void noteFreshness(const nlohmann::json &Status,
                   std::vector<std::string> &Out) {
  if (flagOf(Status, "fresh", true))
    return;
  Out.push_back("this instance cannot prove that its state is the newest (" +
                fieldText(Status, "why_not_fresh") +
                "): it serves no route that needs a key; see "
                "docs/operators/log-outage.md");
}

void noteInstances(const nlohmann::json &Status,
                   std::vector<std::string> &Out) {
  for (const nlohmann::json &Each : listOf(Status, "instances"))
    if (!flagOf(Each, "in_force", true))
      Out.push_back("instance " + fieldText(Each, "instance") +
                    " lags behind the configuration; replace it if it stays "
                    "so (docs/operators/replace-instance.md)");
}

void noteZones(const nlohmann::json &Status, std::vector<std::string> &Out) {
  for (const nlohmann::json &Each : listOf(Status, "zones_out"))
    Out.push_back("zone " + Each.get<std::string>() +
                  " is out; take it in with `kingcuphub zone in " +
                  Each.get<std::string>() + "` when it is back");
}

void noteTargets(const nlohmann::json &Status, std::vector<std::string> &Out) {
  for (const nlohmann::json &Each : listOf(Status, "targets"))
    if (!flagOf(Each, "reachable", true) && !flagOf(Each, "leaving", false))
      Out.push_back("target " + fieldText(Each, "target") + " at " +
                    fieldText(Each, "address") +
                    " does not answer; restart it, or let it leave with "
                    "`kingcuphub target leave " +
                    fieldText(Each, "target") + "`");
}

void noteModels(const nlohmann::json &Status, std::vector<std::string> &Out) {
  for (const nlohmann::json &Each : listOf(Status, "models"))
    if (!flagOf(Each, "reachable", true))
      Out.push_back("model " + fieldText(Each, "model") +
                    " is on no live target; add memory with `kingcuphub "
                    "target add`, or see docs/operators/status.md");
}

void noteAccounts(const nlohmann::json &Status, std::vector<std::string> &Out) {
  for (const nlohmann::json &Each : listOf(Status, "accounts")) {
    if (fieldText(Each, "keys") == "0")
      Out.push_back("account " + fieldText(Each, "account") +
                    " has no key; make one with `kingcuphub key create " +
                    fieldText(Each, "account") + "`");
    std::string Refused = fieldText(Each, "refused_recently");
    if (!Refused.empty() && Refused != "0")
      Out.push_back("account " + fieldText(Each, "account") + " had " +
                    Refused +
                    " requests refused lately; see its burn with "
                    "kingcuphub-report");
  }
}

std::string stateOf(const nlohmann::json &Target) {
  if (flagOf(Target, "leaving", false))
    return "LEAVING";
  if (!Target.contains("reachable"))
    return fieldText(Target, "kind") == "service" ? "-" : "no report yet";
  if (!flagOf(Target, "reachable", true))
    return "SILENT";
  return flagOf(Target, "cold", false) ? "cold" : "warm";
}

std::string memoryOf(const nlohmann::json &Target) {
  constexpr double Percent = 100;
  const nlohmann::json &Used = listOf(Target, "used_bytes");
  const nlohmann::json &Size = listOf(Target, "size_bytes");
  std::string Out;
  for (std::size_t Index = 0; Index < Used.size() && Index < Size.size();
       ++Index) {
    double Part = Used[Index].get<double>() /
                  std::max(1.0, Size[Index].get<double>()) * Percent;
    Out +=
        (Out.empty() ? "" : " ") + std::to_string(static_cast<int>(Part)) + "%";
  }
  return Out.empty() ? "-" : Out;
}

void printHead(std::ostream &Out, const nlohmann::json &Status) {
  const nlohmann::json &Instances = listOf(Status, "instances");
  auto InForce = std::count_if(Instances.begin(), Instances.end(),
                               [](const nlohmann::json &Each) {
                                 return flagOf(Each, "in_force", false);
                               });
  const nlohmann::json &Models = listOf(Status, "models");
  auto Reachable = std::count_if(Models.begin(), Models.end(),
                                 [](const nlohmann::json &Each) {
                                   return flagOf(Each, "reachable", false);
                                 });
  Out << "preset     " << fieldText(Status, "preset") << '\n'
      << "instances  " << InForce << " of " << Instances.size()
      << " have the newest configuration (offset "
      << fieldText(Status, "config_offset") << ")\n"
      << "zones out  " << join(listOf(Status, "zones_out")) << '\n'
      << "models     " << Reachable << " of " << Models.size()
      << " reachable\n";
}

void printTargets(std::ostream &Out, const nlohmann::json &Status) {
  base::Table Targets({"TARGET", "ZONE", "KIND", "STATE", "RUNNING", "WAITING",
                       "MEMORY", "MODELS"});
  for (const nlohmann::json &Each : listOf(Status, "targets"))
    Targets.add({fieldText(Each, "target"), fieldText(Each, "zone"),
                 fieldText(Each, "kind"), stateOf(Each),
                 fieldText(Each, "running"), fieldText(Each, "waiting"),
                 memoryOf(Each), join(listOf(Each, "models"))});
  if (!Targets.empty()) {
    Out << '\n';
    Targets.print(Out);
  }
}

void printAccounts(std::ostream &Out, const nlohmann::json &Status) {
  base::Table Accounts({"ACCOUNT", "TOKENS/S", "BURST", "KEYS"});
  for (const nlohmann::json &Each : listOf(Status, "accounts"))
    Accounts.add({fieldText(Each, "account"),
                  fieldText(Each, "tokens_per_second"),
                  fieldText(Each, "burst_tokens"), fieldText(Each, "keys")});
  if (!Accounts.empty()) {
    Out << '\n';
    Accounts.print(Out);
  }
}

} // namespace

std::vector<std::string> attentionOf(const nlohmann::json &Status) {
  std::vector<std::string> Out;
  noteFreshness(Status, Out);
  noteModels(Status, Out);
  noteInstances(Status, Out);
  noteTargets(Status, Out);
  noteZones(Status, Out);
  noteAccounts(Status, Out);
  return Out;
}

void printStatus(std::ostream &Out, const nlohmann::json &Status) {
  std::vector<std::string> Attention = attentionOf(Status);
  Out << fieldText(Status, "deployment") << ": ";
  if (Attention.empty())
    Out << "all well\n";
  else
    Out << Attention.size()
        << (Attention.size() == 1 ? " thing needs" : " things need")
        << " a hand\n";
  for (const std::string &Each : Attention)
    Out << "  ! " << Each << '\n';
  Out << '\n';
  printHead(Out, Status);
  printTargets(Out, Status);
  printAccounts(Out, Status);
}

} // namespace kingcuphub::cli
