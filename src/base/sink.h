// The join between two filters of a pipeline.
#pragma once

namespace tanager {

// Takes over one typed message. A filter is a sink that passes what it lets through to the next sink.
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
