#include "gateway/internal/caller_identification.h"

namespace tanager {

caller_identification::caller_identification(const request_codec& codec, const route_directory& routes)
    : codec(codec), routes(routes)
{
}

result<std::optional<caller_identity>> caller_identification::identify(const http_request& request,
                                                                       const route& chosen_route) const
{
    const auto& directory = this->routes.organisations();
    if (directory == nullptr) {
        return std::nullopt;
    }
    const auto key = this->codec.decode_key(request);
    auto identity = caller_gate::identify(*directory, {key, !chosen_route.is_public});
    if (!identity) {
        return tl::make_unexpected(std::move(identity.error()));
    }
    return std::optional{std::move(*identity)};
}

} // namespace tanager
