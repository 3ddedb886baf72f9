#include "common/standinmain.h"
#include "engine.h"

using namespace kingcuphub;

int main(int Count, char **Args) {
  return standin::standinMain<standin::Engine>(
      {"standin-engine", "A stand-in for a model engine."},
      standin::readEngineSettings, Count, Args);
}
