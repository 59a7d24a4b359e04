#include "tests/support/child_process.h"

#include <algorithm>
#include <array>
#include <csignal>
#include <spawn.h>
#include <stdexcept>
#include <sys/wait.h>
#include <unistd.h>

extern char** environ; // NOLINT

namespace tanager::testing {

namespace {

constexpr std::chrono::seconds max_wait{60};

std::string value_of(const std::string& line, const std::string& key)
{
    const auto key_position = line.find(" " + key + "=");
    if (key_position == std::string::npos) {
        throw std::runtime_error("no value of '" + key + "' in log line: " + line);
    }
    const auto value_position = key_position + key.size() + 2;
    return line.substr(value_position, line.find(' ', value_position) - value_position);
}

} // namespace

child_process::child_process(const std::string& program, const std::vector<std::string>& arguments)

{
    std::array<int, 2> pipe_ends{};
    if (pipe(pipe_ends.data()) != 0) {
        throw std::runtime_error("cannot create a pipe for the output of " + program);
    }
    std::string path = std::string{TANAGER_BIN_DIR} + "/" + program;
    std::vector<std::string> argument_copies = arguments;
    std::vector<char*> argv{path.data()};
    for (auto& argument : argument_copies) {
        argv.push_back(argument.data());
    }
    argv.push_back(nullptr);
    posix_spawn_file_actions_t actions{};
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_adddup2(&actions, pipe_ends[1], STDOUT_FILENO);
    posix_spawn_file_actions_adddup2(&actions, pipe_ends[1], STDERR_FILENO);
    posix_spawn_file_actions_addclose(&actions, pipe_ends[0]);
    posix_spawn_file_actions_addclose(&actions, pipe_ends[1]);
    const int spawn_error =
        posix_spawn(&this->process_id, path.c_str(), &actions, nullptr, argv.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    close(pipe_ends[1]);
    if (spawn_error != 0) {
        close(pipe_ends[0]);
        throw std::runtime_error("cannot start " + path);
    }
    this->reader_thread = std::thread([this, descriptor = pipe_ends[0]] { this->read_output(descriptor); });
}

child_process::~child_process()
{
    if (!this->has_exited) {
        kill(this->process_id, SIGCONT);
        kill(this->process_id, SIGKILL);
        this->wait();
    }
    this->reader_thread.join();
}

void child_process::read_output(int descriptor)
{
    std::string partial;
    std::array<char, 4096> buffer{}; // NOLINT(*-magic-numbers)
    ssize_t length = 0;
    while ((length = read(descriptor, buffer.data(), buffer.size())) > 0) {
        partial.append(buffer.data(), static_cast<std::size_t>(length));
        const std::lock_guard lock(this->mutex);
        for (auto end = partial.find('\n'); end != std::string::npos; end = partial.find('\n')) {
            this->lines.push_back(partial.substr(0, end));
            partial.erase(0, end + 1);
        }
        this->output_changed.notify_all();
    }
    close(descriptor);
    const std::lock_guard lock(this->mutex);
    this->is_output_closed = true;
    this->output_changed.notify_all();
}

std::string child_process::wait_for_line(const std::string& text)
{
    std::unique_lock lock(this->mutex);
    std::size_t seen = 0;
    const auto deadline = std::chrono::steady_clock::now() + max_wait;
    while (true) {
        for (; seen < this->lines.size(); ++seen) {
            if (this->lines[seen].find(text) != std::string::npos) {
                return this->lines[seen];
            }
        }
        const bool is_late = this->output_changed.wait_until(lock, deadline) == std::cv_status::timeout;
        if (is_late || (this->is_output_closed && seen >= this->lines.size())) {
            const std::string last_line = this->lines.empty() ? "(no output)" : this->lines.back();
            std::string message = "no line with '";
            message.append(text).append("' in the log; last line: ").append(last_line);
            throw std::runtime_error(message);
        }
    }
}

std::string child_process::address(const std::string& key)
{
    return value_of(this->wait_for_line(" " + key + "="), key);
}

bool child_process::has_line(const std::string& text)
{
    const std::lock_guard lock(this->mutex);
    return std::ranges::any_of(this->lines,
                               [&](const std::string& line) { return line.find(text) != std::string::npos; });
}

void child_process::send_signal(int number) const
{
    kill(this->process_id, number);
}

int child_process::wait()
{
    if (this->has_exited) {
        return this->exit_status;
    }
    int status = 0;
    waitpid(this->process_id, &status, 0);
    this->record_exit(status);
    return this->exit_status;
}

bool child_process::is_running()
{
    int status = 0;
    if (!this->has_exited && waitpid(this->process_id, &status, WNOHANG) == this->process_id) {
        this->record_exit(status);
    }
    return !this->has_exited;
}

void child_process::record_exit(int status)
{
    this->has_exited = true;
    this->exit_status = WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
}

std::vector<std::string> child_process::matching_lines(const std::string& text)
{
    const std::lock_guard lock(this->mutex);
    std::vector<std::string> found;
    std::ranges::copy_if(this->lines, std::back_inserter(found), [&](const auto& line) {
        return line.find(text) != std::string::npos;
    });
    return found;
}

pid_t child_process::id() const
{
    return this->process_id;
}

} // namespace tanager::testing
