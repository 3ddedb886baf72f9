#include "common/standinmain.h"
#include "service.h"

using namespace kingcuphub;

int main(int Count, char **Args) {
  return standin::standinMain<standin::Service>(
      {"standin-service", "A stand-in for a plain service."},
      standin::readServiceSettings, Count, Args);
}
