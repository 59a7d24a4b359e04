// CPU time and resident memory of this process.
#pragma once

#include <chrono>
#include <cstdint>

namespace tanager {

struct process_usage {
    std::chrono::microseconds processor_time{0};
    std::uint64_t resident_bytes = 0;

    friend bool operator==(const process_usage&, const process_usage&) = default;
};

process_usage read_process_usage();

} // namespace tanager
