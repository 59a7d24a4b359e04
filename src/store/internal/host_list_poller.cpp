#include "store/host_list_poller.h"

#include "logging/event_log.h"

namespace tanager {

namespace {

class polling_follower final : public host_list_poller,
                               public std::enable_shared_from_this<polling_follower> {
public:
    polling_follower(event_loop& loop, host_list_source& store, duration interval, change_callback changed)
        : loop(loop), store(store), interval(interval), changed(std::move(changed))
    {
    }

    void start() override
    {
        this->read();
        this->ticks = this->loop.run_every(this->interval, [this] { this->read(); });
    }

    void set_interval(duration wanted) override
    {
        if (wanted == this->interval) {
            return;
        }
        this->interval = wanted;
        this->ticks = this->loop.run_every(this->interval, [this] { this->read(); });
    }

private:
    void read()
    {
        if (this->is_waiting) {
            return;
        }
        this->is_waiting = true;
        this->store.list_hosts([weak = this->weak_from_this()](const auto& hosts) {
            const auto alive = weak.lock();
            if (alive != nullptr) {
                alive->on_hosts(hosts);
            }
        });
    }

    void on_hosts(const result<std::vector<listed_host>>& hosts)
    {
        this->is_waiting = false;
        if (!hosts || *hosts == this->last) {
            return;
        }
        this->last = *hosts;
        write_event(log_event::host_list_changed, {{"hosts", std::to_string(this->last.size())}});
        this->changed(this->last);
    }

    event_loop& loop;
    host_list_source& store;
    duration interval;
    change_callback changed;
    bool is_waiting = false;
    std::vector<listed_host> last;
    std::unique_ptr<loop_timer> ticks;
};

} // namespace

std::shared_ptr<host_list_poller> host_list_poller::create(event_loop& loop,
                                                           host_list_source& store,
                                                           duration interval,
                                                           change_callback changed)
{
    return std::make_shared<polling_follower>(loop, store, interval, std::move(changed));
}

} // namespace tanager
