#ifndef KINGCUPHUB_HTTP_INTERNAL_DISCARDUNSENT_H
#define KINGCUPHUB_HTTP_INTERNAL_DISCARDUNSENT_H

/// \file
/// Closing a connection whose last message must not arrive any more.

namespace kingcuphub::http {

/// Has the close of \p Socket discard what its peer has not acknowledged. A
/// plain close lets the system go on to send it, for as long as the peer cannot
/// be reached.
void discardUnsentOnClose(int Socket);

} // namespace kingcuphub::http

#endif // KINGCUPHUB_HTTP_INTERNAL_DISCARDUNSENT_H
