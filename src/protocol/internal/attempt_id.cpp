#include "protocol/types/attempt_id.h"

#include "base/text.h"

#include <tanager.pb.h>

namespace tanager {

std::string to_text(const attempt_id& name)
{
    return to_hex(name.entry_incarnation) + "-" + std::to_string(name.sequence);
}

attempt_id from_message(const protocol::attempt_id& message)
{
    return {message.entry_incarnation(), message.sequence()};
}

void fill_message(const attempt_id& name, protocol::attempt_id& message)
{
    message.set_entry_incarnation(name.entry_incarnation);
    message.set_sequence(name.sequence);
}

} // namespace tanager
