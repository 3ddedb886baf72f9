#include "explain/explain.h"

#include "logline.h"

#include <algorithm>
#include <map>
#include <set>
#include <utility>

namespace kingcuphub::explain {

namespace {

/// Fields that stand in every line and say nothing of the event.
const std::set<std::string> CommonFields = {"time_ms", "level",    "program",
                                            "event",   "instance", "request"};

/// What a line is a belief about; empty if it is none. The newest line about
/// the same counts.
std::string subjectOf(const Step &Of) {
  if (Of.Event == "catalog" || Of.Event == "holder")
    return Of.Event;
  if (Of.Event == "lease-gained" || Of.Event == "lease-lost")
    return "lease";
  if (Of.Event == "store-lost" || Of.Event == "store-regained")
    return "store " + fieldOf(Of, "reading");
  if (Of.Event == "account-limit-is")
    return "account " + fieldOf(Of, "account");
  if (Of.Event == "target-change")
    return "target " + fieldOf(Of, "target");
  return {};
}

/// The subjects that a step of the request rests on.
std::vector<std::string> subjectsFor(const Step &Of) {
  std::vector<std::string> Out;
  if (Of.Event == "sent" || Of.Event == "ended")
    Out.emplace_back("catalog");
  if (std::string Target = fieldOf(Of, "target"); !Target.empty())
    Out.push_back("target " + Target);
  if (fieldOf(Of, "reason") == "account-limit")
    Out.push_back("account " + fieldOf(Of, "account"));
  bool ForItem = fieldOf(Of, "for") == "item";
  if (ForItem || fieldOf(Of, "reason") == "account-limit")
    Out.emplace_back("holder");
  return Out;
}

} // namespace

std::vector<Step> explain(std::istream &Logs, const base::RequestId &Request) {
  std::vector<Step> All;
  for (std::string Line; std::getline(Logs, Line);)
    if (auto Parsed = parseLine(Line))
      All.push_back(std::move(*Parsed));
  std::stable_sort(All.begin(), All.end(),
                   [](const Step &Left, const Step &Right) {
                     return Left.TimeMillis < Right.TimeMillis;
                   });
  std::vector<Step> Out;
  std::map<std::pair<std::string, std::string>, const Step *> Beliefs;
  std::set<const Step *> Told;
  for (const Step &Each : All) {
    if (std::string Subject = subjectOf(Each); !Subject.empty())
      Beliefs[{Each.Instance, Subject}] = &Each;
    if (fieldOf(Each, "request") != Request.Value)
      continue;
    for (const std::string &Subject : subjectsFor(Each)) {
      auto Found = Beliefs.find({Each.Instance, Subject});
      if (Found == Beliefs.end() || !Told.insert(Found->second).second)
        continue;
      Out.push_back(*Found->second);
      Out.back().IsBelief = true;
    }
    Out.push_back(Each);
  }
  return Out;
}

std::string describe(const Step &What, std::int64_t StartMillis) {
  std::string Out = What.IsBelief ? "    believed: " : "";
  Out += std::to_string(What.TimeMillis - StartMillis) + " ms " +
         What.Instance + " " + What.Event;
  for (const auto &Field : What.Fields.items())
    if (CommonFields.count(Field.key()) == 0)
      Out += " " + Field.key() + "=" +
             (Field.value().is_string() ? Field.value().get<std::string>()
                                        : Field.value().dump());
  return Out;
}

} // namespace kingcuphub::explain
