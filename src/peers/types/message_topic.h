#pragma once

namespace tanager {

// What a message between gateways is about. The value is the first byte of its datagram.
enum class message_topic : char {
    suspicions = 'M', // requests that may end their servers
    usage = 'U'       // counts of requests, and their acknowledgements
};

} // namespace tanager
