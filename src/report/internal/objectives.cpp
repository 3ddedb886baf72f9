#include "report/objectives.h"

namespace kingcuphub::report {

namespace {

constexpr double LeastGoodPart = 0.5;
constexpr double MostGoodPart = 0.99999;

/// How many names the objective gives, or -1 where one does not match.
int matchOf(const Objective &Each, const std::string &Account,
            const std::string &Route, const std::string &Model) {
  int Named = 0;
  for (const auto &[Wanted, Found] :
       {std::pair(&Each.Account, &Account), std::pair(&Each.Route, &Route),
        std::pair(&Each.Model, &Model)}) {
    if (Wanted->empty())
      continue;
    if (*Wanted != *Found)
      return -1;
    ++Named;
  }
  return Named;
}

} // namespace

double ReportSettings::goodPartOf(const std::string &Account,
                                  const std::string &Route,
                                  const std::string &Model) const {
  int Best = -1;
  double Out = this->DefaultGoodPart;
  for (const Objective &Each : this->Objectives) {
    int Match = matchOf(Each, Account, Route, Model);
    if (Match <= Best)
      continue;
    Best = Match;
    Out = Each.GoodPart;
  }
  return Out;
}

ReportSettings readReportSettings(base::SettingsReader &Reader) {
  ReportSettings Out;
  for (const std::string &Text : Reader.texts("sources")) {
    if (auto Source = base::parseEndpoint(Text))
      Out.Sources.push_back(*Source);
    else
      Reader.problem("sources", '"' + Text + '"',
                     "write an IP number and a port, as in \"10.0.0.7:80\"");
  }
  Out.DefaultGoodPart = Reader.real("default_good_part", Out.DefaultGoodPart,
                                    LeastGoodPart, MostGoodPart);
  Reader.objects("objectives", [&Out](base::SettingsReader &Each) {
    Out.Objectives.push_back({Each.text("account", ""), Each.text("route", ""),
                              Each.text("model", ""),
                              Each.real("good_part", Out.DefaultGoodPart,
                                        LeastGoodPart, MostGoodPart)});
  });
  return Out;
}

} // namespace kingcuphub::report
