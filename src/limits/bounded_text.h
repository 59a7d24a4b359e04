// Bounds the memory that answers take while they are collected.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace tanager {

// The bytes that all answers of a process may hold together. Servers that answer without end would otherwise
// take its memory, each within its own bound.
class byte_budget {
public:
    explicit byte_budget(std::size_t max_bytes);

    // Returns false, and counts nothing, when that would be too much.
    bool try_acquire(std::size_t bytes);

    void release(std::size_t bytes);

    std::size_t used_bytes() const;

private:
    std::size_t max_bytes;
    std::size_t used = 0;
};

// A text whose bytes count in a budget for as long as it holds them.
class bounded_text {
public:
    explicit bounded_text(byte_budget& budget);
    ~bounded_text();
    bounded_text(const bounded_text&) = delete;
    bounded_text& operator=(const bounded_text&) = delete;
    bounded_text(bounded_text&&) = delete;
    bounded_text& operator=(bounded_text&&) = delete;

    // Returns false, and keeps what it had, when the budget is spent.
    bool append(std::string_view data);

    void clear();

    const std::string& text() const;

private:
    byte_budget& budget;
    std::string content;
};

} // namespace tanager
