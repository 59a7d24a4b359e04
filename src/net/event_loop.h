// The single-threaded event loop of a program.
#pragma once

#include "base/clock.h"
#include "base/types/result.h"

#include <functional>
#include <memory>
#include <mutex>
#include <vector>

struct event;
struct event_base;

namespace tanager {

using task = std::function<void()>;

// A registered timer or signal handler, owned by the caller; destroying it cancels it.
class loop_timer {
public:
    loop_timer() = default;
    loop_timer(const loop_timer&) = delete;
    loop_timer& operator=(const loop_timer&) = delete;
    loop_timer(loop_timer&&) = delete;
    loop_timer& operator=(loop_timer&&) = delete;
    virtual ~loop_timer() = default;
};

class event_loop {
public:
    // Fails with loop_unavailable if the kernel provides no event queue. Makes the process ignore SIGPIPE.
    static result<std::unique_ptr<event_loop>> create();

    ~event_loop();
    event_loop(const event_loop&) = delete;
    event_loop& operator=(const event_loop&) = delete;
    event_loop(event_loop&&) = delete;
    event_loop& operator=(event_loop&&) = delete;

    // Queues a task to run on the loop's thread. The only member that other threads may call.
    void post(task work);

    // Runs a task once after a delay; destroying the timer cancels it.
    std::unique_ptr<loop_timer> run_after(duration delay, task work);

    // Runs a task at a fixed interval until the timer is destroyed.
    std::unique_ptr<loop_timer> run_every(duration interval, task work);

    // Runs a task each time the process receives a signal.
    std::unique_ptr<loop_timer> run_on_signal(int signal_number, task work);

    // Processes events until `stop` is called.
    void run();
    void stop();

    // Waits for events and processes them once, for callers that check a condition between iterations.
    void run_once();

    event_base* native_handle() const;

private:
    explicit event_loop(event_base* base);

    static void on_wakeup(int descriptor, short what, void* self); // NOLINT(*-runtime-int)
    void run_posted_tasks();

    event_base* base;
    event* wakeup = nullptr;
    std::mutex posted_mutex;
    std::vector<task> posted_tasks;
};

} // namespace tanager
