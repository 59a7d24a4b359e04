// Converts catalogue changes to and from protocol messages.
#pragma once

#include "catalogue/types/catalogue_object.h"

namespace tanager {

namespace protocol {
class catalogue_delta;
}

catalogue_delta from_message(const protocol::catalogue_delta& message);
void fill_message(const catalogue_delta& delta, protocol::catalogue_delta& message);

} // namespace tanager
