// Bounds the memory of buffered responses.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace tanager {

// The bytes that all buffered responses of a process may use together. Without it, many endless responses
// could exhaust the memory although each stays within its own bound.
class byte_budget {
public:
    explicit byte_budget(std::size_t max_bytes);

    // Returns false, and acquires nothing, when the bytes exceed what is left of the budget.
    bool try_acquire(std::size_t bytes);

    void release(std::size_t bytes);

    std::size_t used_bytes() const;

private:
    std::size_t max_bytes;
    std::size_t used = 0;
};

// A text whose bytes are acquired from a budget and released when it is cleared or destroyed.
class bounded_text {
public:
    explicit bounded_text(byte_budget& budget);
    ~bounded_text();
    bounded_text(const bounded_text&) = delete;
    bounded_text& operator=(const bounded_text&) = delete;
    bounded_text(bounded_text&&) = delete;
    bounded_text& operator=(bounded_text&&) = delete;

    // Returns false, and leaves the text unchanged, when the budget does not suffice.
    bool append(std::string_view data);

    void clear();

    const std::string& text() const;

private:
    byte_budget& budget;
    std::string content;
};

} // namespace tanager
