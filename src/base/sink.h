// Interface between two filters of a pipeline.
#pragma once

namespace tanager {

// Accepts messages of one type and takes ownership of them. A filter is a sink that forwards
// the messages it lets pass to the next sink.
template <class message>
class sink {
public:
    sink() = default;
    sink(const sink&) = delete;
    sink& operator=(const sink&) = delete;
    sink(sink&&) = delete;
    sink& operator=(sink&&) = delete;
    virtual ~sink() = default;

    virtual void accept(message value) = 0;
};

} // namespace tanager
