// Runs one program of the build as a child process of a test.
#pragma once

#include <condition_variable>
#include <memory>
#include <mutex>
#include <string>
#include <sys/types.h>
#include <thread>
#include <vector>

namespace tanager::testing {

// Collects the program's output line by line. The destructor kills the process with SIGKILL if it still runs.
class child_process {
public:
    // `program` is the name of an executable in the build's bin directory. Throws if it cannot be started.
    child_process(const std::string& program, const std::vector<std::string>& arguments);
    ~child_process();
    child_process(const child_process&) = delete;
    child_process& operator=(const child_process&) = delete;
    child_process(child_process&&) = delete;
    child_process& operator=(child_process&&) = delete;

    // Returns the first log line that contains `text`, waiting up to 60 s for it. Throws on timeout, or when
    // the output is closed and has no such line.
    std::string wait_for_line(const std::string& text);

    // Returns the value of `key` in the first log line with ` key=value`, in which the program logs its
    // addresses. Waits for it like wait_for_line().
    std::string address(const std::string& key);

    bool has_line(const std::string& text);

    // Returns the lines logged so far that contain `text`.
    std::vector<std::string> matching_lines(const std::string& text);

    void send_signal(int number) const;

    // Returns whether the process has not exited yet; does not wait.
    bool is_running();

    // Waits until the process has exited. Returns its exit code, or the negated signal number if a signal
    // ended it.
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
