#pragma once

namespace tanager {

// Makes a connection to an unresponsive peer fail within seconds, and sends small writes without delay.
void set_connection_options(int descriptor);

// Returns whether the peer has closed its sending side or reset the connection, even if received bytes have
// not been read yet.
bool is_closed_by_peer(int descriptor);

} // namespace tanager
