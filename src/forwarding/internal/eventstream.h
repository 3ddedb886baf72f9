#ifndef KINGCUPHUB_FORWARDING_INTERNAL_EVENTSTREAM_H
#define KINGCUPHUB_FORWARDING_INTERNAL_EVENTSTREAM_H

/// \file
/// Tells answers that consist of events from others. No I/O.

#include "http/messageparser.h"

namespace kingcuphub::forwarding {

/// Returns whether an answer with this head is a server-sent event stream; one
/// that names no type is if \p ByDefault. Events of an encoded stream can't be
/// told apart.
bool isEventStream(const http::MessageHead &Head, bool ByDefault);

} // namespace kingcuphub::forwarding

#endif // KINGCUPHUB_FORWARDING_INTERNAL_EVENTSTREAM_H
