#include "net/event_loop.h"

#include "net/internal/callback_guard.h"

#include <csignal>
#include <event2/event.h>
#include <event2/thread.h>

namespace tanager {

namespace {

timeval to_timeval(duration interval)
{
    const auto microseconds = std::chrono::duration_cast<std::chrono::microseconds>(interval);
    const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(microseconds);
    timeval value{};
    value.tv_sec = seconds.count();
    value.tv_usec = (microseconds - seconds).count();
    return value;
}

class event_timer final : public loop_timer {
public:
    event_timer(event_base* base, int source, short what, task work)
        : work(std::move(work)) // NOLINT(*-runtime-int)
    {
        this->native = event_new(base, source, what, &event_timer::on_event, this);
    }

    ~event_timer() override
    {
        event_free(this->native);
    }

    event_timer(const event_timer&) = delete;
    event_timer& operator=(const event_timer&) = delete;
    event_timer(event_timer&&) = delete;
    event_timer& operator=(event_timer&&) = delete;

    void start(duration interval)
    {
        const timeval native_interval = to_timeval(interval);
        event_add(this->native, &native_interval);
    }

    void start()
    {
        event_add(this->native, nullptr);
    }

private:
    static void on_event(int /*source*/, short /*what*/, void* self) // NOLINT(*-runtime-int)
    {
        // The task may destroy this timer, so a copy runs.
        const task work = static_cast<event_timer*>(self)->work;
        run_guarded("timer", work);
    }

    task work;
    event* native = nullptr;
};

} // namespace

event_loop::event_loop(event_base* base) : base(base)
{
    this->wakeup = event_new(base, -1, EV_PERSIST, &event_loop::on_wakeup, this);
}

event_loop::~event_loop()
{
    event_free(this->wakeup);
    event_base_free(this->base);
}

result<std::unique_ptr<event_loop>> event_loop::create()
{
    evthread_use_pthreads();
    std::signal(SIGPIPE, SIG_IGN); // NOLINT(*-err33-c)
    event_base* const base = event_base_new();
    if (base == nullptr) {
        return fail(result_code::loop_unavailable, "event_base_new failed");
    }
    return std::unique_ptr<event_loop>(new event_loop(base)); // NOLINT(*-owning-memory)
}

void event_loop::post(task work)
{
    bool was_empty = false;
    {
        const std::lock_guard lock(this->posted_mutex);
        was_empty = this->posted_tasks.empty();
        this->posted_tasks.push_back(std::move(work));
    }
    if (was_empty) {
        event_active(this->wakeup, EV_TIMEOUT, 0);
    }
}

void event_loop::on_wakeup(int /*descriptor*/, short /*what*/, void* self) // NOLINT(*-runtime-int)
{
    static_cast<event_loop*>(self)->run_posted_tasks();
}

void event_loop::run_posted_tasks()
{
    std::vector<task> batch;
    {
        const std::lock_guard lock(this->posted_mutex);
        batch.swap(this->posted_tasks);
    }
    for (const auto& work : batch) {
        run_guarded("posted task", work);
    }
}

std::unique_ptr<loop_timer> event_loop::run_after(duration delay, task work)
{
    auto timer = std::make_unique<event_timer>(this->base, -1, static_cast<short>(0), std::move(work));
    timer->start(delay);
    return timer;
}

std::unique_ptr<loop_timer> event_loop::run_every(duration interval, task work)
{
    auto timer =
        std::make_unique<event_timer>(this->base, -1, static_cast<short>(EV_PERSIST), std::move(work));
    timer->start(interval);
    return timer;
}

std::unique_ptr<loop_timer> event_loop::run_on_signal(int signal_number, task work)
{
    constexpr auto what = static_cast<short>(EV_SIGNAL | EV_PERSIST);
    auto watcher = std::make_unique<event_timer>(this->base, signal_number, what, std::move(work));
    watcher->start();
    return watcher;
}

void event_loop::run()
{
    event_base_loop(this->base, EVLOOP_NO_EXIT_ON_EMPTY);
}

void event_loop::run_once()
{
    event_base_loop(this->base, EVLOOP_ONCE);
}

void event_loop::stop()
{
    event_base_loopbreak(this->base);
}

event_base* event_loop::native_handle() const
{
    return this->base;
}

} // namespace tanager
