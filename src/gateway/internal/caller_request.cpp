#include "gateway/types/caller_request.h"

namespace tanager {

std::string_view name_of(response_id id)
{
    switch (id) {
    case response_id::own:
        return "own";
    case response_id::another:
        return "another";
    case response_id::none:
        return "none";
    }
    return "unlisted";
}

} // namespace tanager
