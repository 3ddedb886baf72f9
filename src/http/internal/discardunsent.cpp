#include "discardunsent.h"

#include <linux/sockios.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

namespace kingcuphub::http {

void discardUnsentOnClose(int Socket) {
  int Unacknowledged = 0;
  bool Known = ioctl(Socket, SIOCOUTQ, &Unacknowledged) == 0;
  if (Known && Unacknowledged == 0)
    return;
  constexpr linger Reset{1, 0};
  setsockopt(Socket, SOL_SOCKET, SO_LINGER, &Reset, sizeof(Reset));
}

} // namespace kingcuphub::http
