#include "fleet/server_id.h"

namespace tanager {

bool is_server_id(std::string_view name)
{
    constexpr std::string_view unreserved =
        "-.0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZ_abcdefghijklmnopqrstuvwxyz~";
    return !name.empty() && name.size() <= max_server_id_bytes &&
           name.find_first_not_of(unreserved) == std::string_view::npos;
}

} // namespace tanager
