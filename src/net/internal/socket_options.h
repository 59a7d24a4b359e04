#pragma once

namespace tanager {

// Makes a connection to an unresponsive peer fail within seconds, and sends small writes without delay.
void set_connection_options(int descriptor);

} // namespace tanager
