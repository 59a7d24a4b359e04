#pragma once

namespace tanager {

// Makes a connection that has gone silent fail within seconds, and sends small writes at once.
void set_connection_options(int descriptor);

} // namespace tanager
