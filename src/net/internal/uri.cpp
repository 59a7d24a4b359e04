#include "net/uri.h"

#include <cstdlib>
#include <event2/http.h>
#include <memory>
#include <new>

namespace tanager {

std::string encode_uri_component(std::string_view text)
{
    if (text.empty()) {
        return {};
    }
    const std::unique_ptr<char, decltype(&std::free)> encoded{
        evhttp_uriencode(text.data(), static_cast<ev_ssize_t>(text.size()), 0), &std::free};
    if (encoded == nullptr) {
        throw std::bad_alloc();
    }
    return encoded.get();
}

std::string encode_uri_segments(std::string_view text)
{
    std::string encoded;
    for (auto slash = text.find('/'); slash != std::string_view::npos; slash = text.find('/')) {
        encoded += encode_uri_component(text.substr(0, slash)) + '/';
        text.remove_prefix(slash + 1);
    }
    return encoded + encode_uri_component(text);
}

} // namespace tanager
