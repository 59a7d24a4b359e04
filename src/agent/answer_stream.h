// The stream on which an agent returns the answer of one attempt to the entry that dispatched it.
#pragma once

#include <functional>
#include <tanager.pb.h>

namespace tanager {

// Not thread-safe: used on the event loop's thread only. The owner must call `finish` exactly once.
class answer_stream {
public:
    answer_stream() = default;
    answer_stream(const answer_stream&) = delete;
    answer_stream& operator=(const answer_stream&) = delete;
    answer_stream(answer_stream&&) = delete;
    answer_stream& operator=(answer_stream&&) = delete;
    virtual ~answer_stream() = default;

    // Queues a frame. Adjacent data frames may be merged into one.
    virtual void write(protocol::answer_frame frame) = 0;

    // Ends the stream once the queued frames have been written.
    virtual void finish() = 0;

    // Returns the bytes of data that are queued and whose write has not started.
    virtual std::size_t queued_bytes() const = 0;

    // Sets the callback for each time that a write has completed and the queue is empty. It is not called
    // after `finish`.
    virtual void on_queue_empty(std::function<void()> callback) = 0;

    // Sets the callback that is called once when the entry cancels the attempt or its connection breaks.
    virtual void on_cancelled(std::function<void()> callback) = 0;
};

} // namespace tanager
