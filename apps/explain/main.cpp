/// \file
/// kingcuphub-explain: prints from log lines on standard input what happened to
/// one request, or what became of all.

#include "base/program.h"
#include "explain/explain.h"
#include "explain/summary.h"

#include <iostream>

namespace {

using namespace kingcuphub;

int explainRequest(const std::string &Request) {
  std::vector<explain::Step> Steps = explain::explain(std::cin, {Request});
  if (Steps.empty()) {
    std::cerr << "kingcuphub-explain: no line names request " << Request
              << "; give the logs of all instances around its time\n";
    return base::ExitFailed;
  }
  std::int64_t Start = 0;
  for (const explain::Step &Each : Steps)
    if (!Each.IsBelief && Start == 0)
      Start = Each.TimeMillis;
  for (const explain::Step &Each : Steps)
    std::cout << explain::describe(Each, Start) << "\n";
  return base::ExitOk;
}

int summarizeAll(bool AsJson) {
  explain::Summary All = explain::summarize(std::cin, {});
  if (All.Requests == 0) {
    std::cerr << "kingcuphub-explain: no request ends in these lines; give the "
                 "logs of the instances that took callers' requests\n";
    return base::ExitFailed;
  }
  if (AsJson)
    std::cout << explain::toJson(All).dump(2) << "\n";
  else
    std::cout << explain::describe(All);
  return base::ExitOk;
}

} // namespace

int main(int Count, char **Words) {
  std::string Word = Count == 2 ? Words[1] : "";
  bool Help = Word == "--help";
  if (Word.empty() || Help) {
    (Help ? std::cout : std::cerr)
        << "usage: kingcuphub-explain REQUEST < LOGS\n"
           "       kingcuphub-explain --summary | --summary-json < LOGS\n"
           "Prints the steps of the request with that id, and what the\n"
           "instance believed then, from the instances' log lines. With\n"
           "--summary: how all requests ended, by reason, route and second,\n"
           "and the models and adapters that were asked for and never\n"
           "answered.\n";
    return Help ? base::ExitOk : base::ExitUsage;
  }
  if (Word == "--summary" || Word == "--summary-json")
    return summarizeAll(Word == "--summary-json");
  return explainRequest(Word);
}
