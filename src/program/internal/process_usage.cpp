#include "program/process_usage.h"

#include <fstream>
#include <sys/resource.h>
#include <unistd.h>

namespace tanager {

namespace {

std::chrono::microseconds to_duration(const timeval& value)
{
    return std::chrono::seconds{value.tv_sec} + std::chrono::microseconds{value.tv_usec};
}

} // namespace

process_usage read_process_usage()
{
    process_usage usage;
    rusage times{};
    if (getrusage(RUSAGE_SELF, &times) == 0) {
        usage.processor_time = to_duration(times.ru_utime) + to_duration(times.ru_stime);
    }
    std::ifstream statm("/proc/self/statm");
    std::uint64_t total_pages = 0;
    std::uint64_t resident_pages = 0;
    if (statm >> total_pages >> resident_pages) {
        usage.resident_bytes = resident_pages * static_cast<std::uint64_t>(sysconf(_SC_PAGESIZE));
    }
    return usage;
}

} // namespace tanager
