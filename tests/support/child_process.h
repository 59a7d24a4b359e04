// One program that a test has started.
#pragma once

#include <condition_variable>
#include <memory>
#include <mutex>
#include <string>
#include <sys/types.h>
#include <thread>
#include <vector>

namespace tanager::testing {

// Collects the program's log; ends the program when it goes out of scope.
class child_process {
public:
    // `program` is a name in the build's bin folder. Throws when it cannot be started.
    child_process(const std::string& program, const std::vector<std::string>& arguments);
    ~child_process();
    child_process(const child_process&) = delete;
    child_process& operator=(const child_process&) = delete;
    child_process(child_process&&) = delete;
    child_process& operator=(child_process&&) = delete;

    // Waits for the first log line that holds a text, and returns it. Throws when the program ends without
    // it.
    std::string wait_for_line(const std::string& text);

    // Returns the value of `key=value` in the line that announces the program's addresses.
    std::string address(const std::string& key);

    bool has_line(const std::string& text);

    // Returns the log lines so far that hold a text.
    std::vector<std::string> matching_lines(const std::string& text);

    void send_signal(int number) const;

    // Returns whether the program has not ended yet; does not wait.
    bool is_running();

    // Waits until the program has ended; returns its exit code, or the negative number of a fatal signal.
    int wait();

    pid_t id() const;

private:
    void read_output(int descriptor);
    void record_exit(int status);

    pid_t process_id = 0;
    bool has_exited = false;
    int exit_status = 0;
    std::mutex mutex;
    std::condition_variable output_changed;
    std::vector<std::string> lines;
    bool is_output_closed = false;
    std::thread reader_thread;
};

} // namespace tanager::testing
