#include "protocol/types/attempt_id.h"

#include "base/text.h"

#include <tanager.pb.h>

namespace tanager {

std::string to_text(const attempt_id& attempt)
{
    return to_hex(attempt.entry_incarnation) + "-" + std::to_string(attempt.sequence);
}

attempt_id from_message(const protocol::attempt_id& message)
{
    return {message.entry_incarnation(), message.sequence()};
}

void fill_message(const attempt_id& attempt, protocol::attempt_id& message)
{
    message.set_entry_incarnation(attempt.entry_incarnation);
    message.set_sequence(attempt.sequence);
}

} // namespace tanager
