#pragma once

#include <cstddef>
#include <optional>
#include <unordered_map>

namespace tanager {

// Decides which connection of a server to close when all of them together hold too much memory.
//
// Load pattern: many callers that send long bodies and never their end, or that do not read long responses.
// Each stays within the limits of a connection, and together they exhaust the memory of the process. The
// connection with the most such bytes is closed first, so that callers whose requests are short, or who are
// quick, are served. A request that is complete is being worked on; its bytes count, and its connection is
// never chosen for them.
class connection_memory {
public:
    using connection_id = const void*;

    explicit connection_memory(std::size_t max_bytes);

    // Sets the bytes that have been received of a request that is not complete.
    void set_receiving(connection_id connection, std::size_t bytes);

    // Sets the bytes that the caller has not read yet.
    void set_unsent(connection_id connection, std::size_t bytes);

    // Adds and removes the bytes of complete requests.
    void add_complete(std::size_t bytes);
    void remove_complete(std::size_t bytes);

    // Forgets a connection that has been closed.
    void remove(connection_id connection);

    bool is_exceeded() const;

    // Returns the connection to close next, or nothing when the memory suffices or nothing can be released.
    std::optional<connection_id> choose_connection_to_close() const;

    // Returns whether a connection has sent part of a request, and reads what is sent to it.
    bool is_receiving(connection_id connection) const;

    std::size_t used_bytes() const;

private:
    struct usage {
        std::size_t receiving = 0;
        std::size_t unsent = 0;
    };

    std::size_t max_bytes;
    std::size_t used = 0;
    std::unordered_map<connection_id, usage> connections;
};

} // namespace tanager
