#include "store/host_list_poller.h"

#include "logging/event_log.h"

namespace tanager {

namespace {

class timer_host_list_poller final : public host_list_poller,
                                     public std::enable_shared_from_this<timer_host_list_poller> {
public:
    timer_host_list_poller(event_loop& loop,
                           host_list_source& store,
                           duration interval,
                           change_callback on_change)
        : loop(loop), store(store), interval(interval), on_change(std::move(on_change))
    {
    }

    void start() override
    {
        this->poll();
        this->poll_timer = this->loop.run_every(this->interval, [this] { this->poll(); });
    }

    void set_interval(duration new_interval) override
    {
        if (new_interval == this->interval) {
            return;
        }
        this->interval = new_interval;
        this->poll_timer = this->loop.run_every(this->interval, [this] { this->poll(); });
    }

private:
    void poll()
    {
        if (this->is_call_pending) {
            return;
        }
        this->is_call_pending = true;
        this->store.list_hosts([weak = this->weak_from_this()](const auto& hosts) {
            const auto self = weak.lock();
            if (self != nullptr) {
                self->on_hosts(hosts);
            }
        });
    }

    void on_hosts(const result<std::vector<listed_host>>& hosts)
    {
        this->is_call_pending = false;
        if (!hosts || *hosts == this->last_hosts) {
            return;
        }
        this->last_hosts = *hosts;
        write_event(log_event::host_list_changed, {{"hosts", std::to_string(this->last_hosts.size())}});
        this->on_change(this->last_hosts);
    }

    event_loop& loop;
    host_list_source& store;
    duration interval;
    change_callback on_change;
    bool is_call_pending = false;
    std::vector<listed_host> last_hosts;
    std::unique_ptr<loop_timer> poll_timer;
};

} // namespace

std::shared_ptr<host_list_poller> host_list_poller::create(event_loop& loop,
                                                           host_list_source& store,
                                                           duration interval,
                                                           change_callback on_change)
{
    return std::make_shared<timer_host_list_poller>(loop, store, interval, std::move(on_change));
}

} // namespace tanager
