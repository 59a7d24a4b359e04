#include "net/internal/connection_memory.h"

#include <algorithm>
#include <utility>

namespace tanager {

connection_memory::connection_memory(std::size_t max_bytes) : max_bytes(max_bytes) {}

void connection_memory::set_receiving(connection_id connection, std::size_t bytes)
{
    auto& entry = this->connections[connection];
    this->used += bytes - std::exchange(entry.receiving, bytes);
}

void connection_memory::set_unsent(connection_id connection, std::size_t bytes)
{
    auto& entry = this->connections[connection];
    this->used += bytes - std::exchange(entry.unsent, bytes);
}

void connection_memory::add_complete(std::size_t bytes)
{
    this->used += bytes;
}

void connection_memory::remove_complete(std::size_t bytes)
{
    this->used -= bytes;
}

void connection_memory::remove(connection_id connection)
{
    const auto found = this->connections.find(connection);
    if (found != this->connections.end()) {
        this->used -= found->second.receiving + found->second.unsent;
        this->connections.erase(found);
    }
}

bool connection_memory::is_exceeded() const
{
    return this->used > this->max_bytes;
}

std::optional<connection_memory::connection_id> connection_memory::choose_connection_to_close() const
{
    const auto largest = std::ranges::max_element(
        this->connections, {}, [](const auto& row) { return row.second.receiving + row.second.unsent; });
    const bool is_found =
        largest != this->connections.end() && largest->second.receiving + largest->second.unsent > 0;
    return this->is_exceeded() && is_found ? std::optional{largest->first} : std::nullopt;
}

bool connection_memory::is_receiving(connection_id connection) const
{
    const auto found = this->connections.find(connection);
    return found != this->connections.end() && found->second.receiving > 0 && found->second.unsent == 0;
}

std::size_t connection_memory::used_bytes() const
{
    return this->used;
}

} // namespace tanager
