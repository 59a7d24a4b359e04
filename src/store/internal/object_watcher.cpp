#include "store/object_watcher.h"

#include "logging/event_log.h"

#include <algorithm>

namespace tanager {

namespace {

// After a broken connection the watch is resumed almost at once; at the upper bound an unavailable store gets
// a few calls per second from each process.
constexpr std::chrono::milliseconds min_retry_delay{40};
constexpr std::chrono::milliseconds max_retry_delay{600};

class store_object_watcher final : public object_watcher,
                                   public std::enable_shared_from_this<store_object_watcher> {
public:
    store_object_watcher(event_loop& loop,
                         object_store& store,
                         random_source& random,
                         std::string prefix,
                         object_watch_handler& handler,
                         const watch_options& options)
        : loop(loop),
          store(store),
          random(random),
          prefix(std::move(prefix)),
          handler(handler),
          options(options)
    {
    }

    void start() override
    {
        if (this->running) {
            return;
        }
        this->running = true;
        ++this->generation;
        this->list();
    }

    void stop() override
    {
        this->running = false;
        ++this->generation;
        this->next_call_timer.reset();
        this->relist_timer.reset();
    }

private:
    void list()
    {
        this->has_listed = false;
        this->store.list(this->prefix, this->make_listing_callback());
    }

    void watch()
    {
        this->store.watch(this->prefix,
                          this->handler.known_revision(),
                          this->options.max_wait,
                          this->make_listing_callback());
    }

    object_store::listing_callback make_listing_callback()
    {
        return [weak = this->weak_from_this(), generation = this->generation](const auto& listing) {
            const auto self = weak.lock();
            if (self != nullptr && self->generation == generation) {
                self->on_result(listing);
            }
        };
    }

    void on_result(const result<object_listing>& listing)
    {
        if (!listing) {
            this->on_failure(listing.error());
            return;
        }
        if (this->is_store_unavailable) {
            this->is_store_unavailable = false;
            write_event(log_event::store_recovered,
                        {{"prefix", this->prefix}, {"revision", std::to_string(listing->revision)}});
            this->handler.on_store_recovered();
        }
        this->retry_delay = min_retry_delay;
        if (!listing->is_snapshot) {
            this->relist_delay = min_retry_delay;
        }
        this->has_listed = this->has_listed || listing->is_snapshot;
        if (listing->is_snapshot) {
            this->plan_relist(listing->is_incomplete);
        }
        if (this->handler.on_listing(*listing) == watch_action::relist || this->is_relist_due) {
            this->list();
            return;
        }
        if (listing->objects.empty() || this->options.coalescing_delay.count() == 0) {
            this->watch();
            return;
        }
        this->next_call_timer =
            this->loop.run_after(this->options.coalescing_delay, [this] { this->watch(); });
    }

    void plan_relist(bool is_needed)
    {
        this->is_relist_due = false;
        this->relist_timer.reset();
        if (is_needed) {
            this->relist_timer = this->loop.run_after(this->options.incomplete_list_lifetime,
                                                      [this] { this->is_relist_due = true; });
        }
    }

    void on_failure(const error& cause)
    {
        if (cause.code == result_code::history_lost) {
            write_event(log_event::store_history_lost,
                        {{"prefix", this->prefix},
                         {"known_revision", std::to_string(this->handler.known_revision())},
                         {"detail", cause.detail}});
            // A store that reports history_lost each time is listed less and less often.
            this->next_call_timer =
                this->loop.run_after(this->draw_delay(this->relist_delay), [this] { this->list(); });
            return;
        }
        if (!this->is_store_unavailable) {
            this->is_store_unavailable = true;
            write_event(log_event::store_unavailable,
                        {{"prefix", this->prefix},
                         {"known_revision", std::to_string(this->handler.known_revision())},
                         {"detail", cause.detail}});
            this->handler.on_store_unavailable(cause);
        }
        this->next_call_timer = this->loop.run_after(this->draw_delay(this->retry_delay), [this] {
            if (this->has_listed) {
                this->watch();
            } else {
                this->list();
            }
        });
    }

    // Returns a random delay around `delay`, which is then doubled up to the upper bound.
    std::chrono::milliseconds draw_delay(std::chrono::milliseconds& delay)
    {
        const auto jitter_range = static_cast<std::uint64_t>(delay.count());
        const std::chrono::milliseconds jitter{static_cast<std::int64_t>(this->random.next() % jitter_range)};
        const auto drawn = delay / 2 + jitter;
        delay = std::min(delay * 2, max_retry_delay);
        return drawn;
    }

    event_loop& loop;
    object_store& store;
    random_source& random;
    std::string prefix;
    object_watch_handler& handler;
    watch_options options;
    bool running = false;
    bool is_store_unavailable = false;
    bool has_listed = false;
    std::uint64_t generation = 0;
    std::chrono::milliseconds retry_delay = min_retry_delay;
    std::chrono::milliseconds relist_delay = min_retry_delay; // after history_lost
    std::unique_ptr<loop_timer> next_call_timer;
    bool is_relist_due = false;
    std::unique_ptr<loop_timer> relist_timer;
};

} // namespace

std::shared_ptr<object_watcher> object_watcher::create(event_loop& loop,
                                                       object_store& store,
                                                       random_source& random,
                                                       std::string prefix,
                                                       object_watch_handler& handler,
                                                       const watch_options& options)
{
    return std::make_shared<store_object_watcher>(loop, store, random, std::move(prefix), handler, options);
}

} // namespace tanager
