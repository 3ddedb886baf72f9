/// \file
/// kingcuphub-explain: prints what happened to one request, from log lines on
/// standard input.

#include "base/program.h"
#include "explain/explain.h"

#include <iostream>

int main(int Count, char **Words) {
  using namespace kingcuphub;
  bool Help = Count == 2 && std::string(Words[1]) == "--help";
  if (Count != 2 || Help) {
    (Help ? std::cout : std::cerr)
        << "usage: kingcuphub-explain REQUEST < LOGS\n"
           "Prints the steps of the request with that id, and what the\n"
           "instance believed then, from the instances' log lines.\n";
    return Help ? base::ExitOk : base::ExitUsage;
  }
  std::vector<explain::Step> Steps = explain::explain(std::cin, {Words[1]});
  if (Steps.empty()) {
    std::cerr << "kingcuphub-explain: no line names request " << Words[1]
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
