#include "net/internal/connection_watcher.h"

#include "logging/event_log.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <string_view>
#include <sys/socket.h>
#include <sys/stat.h>

namespace tanager {

namespace {

// Smaller amounts are not counted, so that most connections cost nothing.
constexpr std::size_t min_counted_bytes = std::size_t{4} * 1024;

// The request has not been read to its end, so it has not been executed.
constexpr std::string_view rejection = "HTTP/1.1 503 Service Unavailable\r\n"
                                       "Retry-After: 1\r\n"
                                       "Content-Length: 0\r\n"
                                       "Connection: close\r\n\r\n";

std::size_t to_counted(std::size_t bytes)
{
    return bytes < min_counted_bytes ? 0 : bytes;
}

} // namespace

connection_watcher::connection_watcher(event_loop& loop, std::size_t max_bytes)
    : loop(loop), memory(std::make_shared<connection_memory>(max_bytes))
{
}

void connection_watcher::watch(bufferevent* stream)
{
    // The stream of an earlier connection may have had the same address.
    this->memory->remove(stream);
    auto& connection = this->connections[stream];
    connection = {this, stream};
    evbuffer_add_cb(bufferevent_get_input(stream), &connection_watcher::on_input_changed, &connection);
    evbuffer_add_cb(bufferevent_get_output(stream), &connection_watcher::on_output_changed, &connection);
}

std::function<void()> connection_watcher::hold_request(bufferevent* stream, std::size_t bytes)
{
    auto& connection = this->connections[stream];
    if (std::exchange(connection.receiving, 0) >= min_counted_bytes) {
        this->memory->set_receiving(stream, 0);
    }
    const auto counted = to_counted(bytes);
    this->memory->add_complete(counted);
    return [memory = this->memory, counted] {
        memory->remove_complete(counted);
    };
}

void connection_watcher::on_input_changed(evbuffer* /*buffer*/,
                                          const evbuffer_cb_info* info,
                                          void* connection)
{
    auto& watched = *static_cast<watched_connection*>(connection);
    watched.receiving += info->n_added;
    if (info->n_added > 0 && watched.receiving >= min_counted_bytes) {
        identify_socket(watched);
        watched.owner->memory->set_receiving(watched.stream, watched.receiving);
        watched.owner->check_later();
    }
}

void connection_watcher::on_output_changed(evbuffer* buffer,
                                           const evbuffer_cb_info* /*info*/,
                                           void* connection)
{
    auto& watched = *static_cast<watched_connection*>(connection);
    const auto unsent = evbuffer_get_length(buffer);
    if (unsent < min_counted_bytes && watched.descriptor < 0) {
        return;
    }
    identify_socket(watched);
    watched.owner->memory->set_unsent(watched.stream, to_counted(unsent));
    watched.owner->check_later();
}

void connection_watcher::identify_socket(watched_connection& connection)
{
    if (connection.descriptor >= 0) {
        return;
    }
    struct stat status {};
    connection.descriptor = bufferevent_getfd(connection.stream);
    connection.socket = fstat(connection.descriptor, &status) == 0 ? status.st_ino : 0;
}

bool connection_watcher::is_open(const watched_connection& connection)
{
    struct stat status {};
    return fstat(connection.descriptor, &status) == 0 && status.st_ino == connection.socket;
}

// Buffers must not be changed inside their own callbacks.
void connection_watcher::check_later()
{
    if (this->is_check_posted || !this->memory->is_exceeded()) {
        return;
    }
    this->is_check_posted = true;
    this->loop.post([this] { this->close_largest(); });
}

void connection_watcher::close_largest()
{
    this->is_check_posted = false;
    for (auto id = this->memory->choose_connection_to_close(); id;
         id = this->memory->choose_connection_to_close()) {
        auto& connection = this->connections[*id];
        if (is_open(connection)) {
            this->close(connection);
        }
        this->memory->remove(*id);
        connection.receiving = 0;
    }
}

void connection_watcher::close(const watched_connection& connection) const
{
    const bool is_receiving = this->memory->is_receiving(connection.stream);
    write_event(log_event::connection_shed,
                {{"receiving", is_receiving ? "yes" : "no"},
                 {"held_bytes", std::to_string(this->memory->used_bytes())}});
    if (is_receiving) {
        send(connection.descriptor, rejection.data(), rejection.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
    }
    // evhttp then sees the end of the connection and frees it.
    shutdown(connection.descriptor, SHUT_RDWR);
}

} // namespace tanager
