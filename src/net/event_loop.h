// The one loop on one thread that every program runs on.
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

// A timer that runs until it is destroyed. Owned by whoever needs the ticks.
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
    // Fails with loop_unavailable when the kernel gives no event queue.
    static result<std::unique_ptr<event_loop>> create();

    ~event_loop();
    event_loop(const event_loop&) = delete;
    event_loop& operator=(const event_loop&) = delete;
    event_loop(event_loop&&) = delete;
    event_loop& operator=(event_loop&&) = delete;

    // Hands a task to the loop's thread. The only member that other threads may call.
    void post(task work);

    // Runs a task once after a delay; destroying the timer cancels it.
    std::unique_ptr<loop_timer> run_after(duration delay, task work);

    // Runs a task at a fixed interval until the timer is destroyed.
    std::unique_ptr<loop_timer> run_every(duration interval, task work);

    // Runs a task when the process receives a signal.
    std::unique_ptr<loop_timer> run_on_signal(int signal_number, task work);

    // Serves events until `stop`.
    void run();
    void stop();

    // Waits for events and serves them once; for callers that check a condition in between.
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
