#pragma once

#include "net/event_loop.h"
#include "net/internal/connection_memory.h"

#include <memory>
#include <sys/types.h>
#include <unordered_map>

struct bufferevent;
struct evbuffer;
struct evbuffer_cb_info;

namespace tanager {

// Measures what the connections of an evhttp server hold in memory, and closes some when that is too much.
//
// evhttp collects a body on its own and reports a request only when it is complete, so the bytes are counted
// as they enter and leave the buffers of the connection. It does not report the end of a connection either:
// whether the socket is still the same is checked before it is closed.
class connection_watcher {
public:
    connection_watcher(event_loop& loop, std::size_t max_bytes);

    // Must be called for each accepted connection.
    void watch(bufferevent* stream);

    // Records that the request on a connection is complete, with `bytes` of it in memory until the function
    // that is returned is called.
    std::function<void()> hold_request(bufferevent* stream, std::size_t bytes);

private:
    struct watched_connection {
        connection_watcher* owner = nullptr;
        bufferevent* stream = nullptr;
        std::size_t receiving = 0;
        int descriptor = -1;
        ino_t socket = 0; // identifies the socket, since descriptors are used again
    };

    static void on_input_changed(evbuffer* buffer, const evbuffer_cb_info* info, void* connection);
    static void on_output_changed(evbuffer* buffer, const evbuffer_cb_info* info, void* connection);
    static void identify_socket(watched_connection& connection);
    static bool is_open(const watched_connection& connection);
    void check_later();
    void close_largest();
    void close(const watched_connection& connection) const;

    event_loop& loop;
    std::shared_ptr<connection_memory> memory; // shared with requests that outlive the server
    std::unordered_map<const void*, watched_connection> connections; // by stream; reused as addresses are
    bool is_check_posted = false;
};

} // namespace tanager
