#include "common/standinmain.h"
#include "platform.h"

using namespace kingcuphub;

int main(int Count, char **Args) {
  return standin::standinMain<standin::Platform>(
      {"standin-platform",
       "A stand-in for the platform: log, instance list and weight store."},
      standin::readPlatformSettings, Count, Args);
}
