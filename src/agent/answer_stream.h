// The way back from an agent to the entry that dispatched an attempt.
#pragma once

#include <functional>
#include <tanager.pb.h>

namespace tanager {

// Used from the loop's thread only. `finish` is owed exactly once.
class answer_stream {
public:
    answer_stream() = default;
    answer_stream(const answer_stream&) = delete;
    answer_stream& operator=(const answer_stream&) = delete;
    answer_stream(answer_stream&&) = delete;
    answer_stream& operator=(answer_stream&&) = delete;
    virtual ~answer_stream() = default;

    // Queues a frame; adjoining data frames may travel as one.
    virtual void write(protocol::answer_frame frame) = 0;

    // Ends the stream after what is queued.
    virtual void finish() = 0;

    // Returns the bytes of data that the entry has not taken yet.
    virtual std::size_t queued_bytes() const = 0;

    // Called when the queue has become empty again.
    virtual void on_queue_empty(std::function<void()> callback) = 0;

    // Called once when the entry gives the attempt up or its connection breaks.
    virtual void on_cancelled(std::function<void()> callback) = 0;
};

} // namespace tanager
