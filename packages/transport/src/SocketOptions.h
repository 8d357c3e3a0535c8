/** @file SocketOptions.h Options of TCP sockets. */
#pragma once

#include "kingcup/MillisecondClock.h"

namespace kingcup {

/** Disables the Nagle algorithm. */
void disableNagle(int socket);

/**
 * Ends a connection whose peer has acknowledged nothing for a time, also while nothing is sent.
 * @param idle Time without a byte after which the peer is probed, in whole seconds.
 * @param limit Time without an acknowledgement. TCP_USER_TIMEOUT bounds the probes too, whatever their number.
 */
void limitSilence(int socket, Milliseconds idle, Milliseconds limit);

/** Sets whether close() resets the connection and drops what was not sent. The kernel does the same when the process ends. */
void setResetOnClose(int socket, bool resets);

} // namespace kingcup
