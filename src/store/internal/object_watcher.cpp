#include "store/object_watcher.h"

#include "logging/event_log.h"

#include <algorithm>

namespace tanager {

namespace {

// A cut watch is asked for again almost at once; a store that is away sees a few calls a second from each
// process.
constexpr std::chrono::milliseconds shortest_retry{40};
constexpr std::chrono::milliseconds longest_retry{600};

class watching_follower final : public object_watcher,
                                public std::enable_shared_from_this<watching_follower> {
public:
    watching_follower(event_loop& loop,
                      object_store& store,
                      random_source& random,
                      std::string prefix,
                      object_watch_handler& observer,
                      const watch_options& pace)
        : loop(loop), store(store), random(random), prefix(std::move(prefix)), observer(observer), pace(pace)
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
        this->retry.reset();
    }

private:
    void list()
    {
        this->has_listed = false;
        this->store.list(this->prefix, this->answer_handler());
    }

    void watch()
    {
        this->store.watch(this->prefix, this->observer.known_revision(), this->answer_handler());
    }

    object_store::listing_callback answer_handler()
    {
        return [weak = this->weak_from_this(), generation = this->generation](const auto& listing) {
            const auto alive = weak.lock();
            if (alive != nullptr && alive->generation == generation) {
                alive->on_answer(listing);
            }
        };
    }

    void on_answer(const result<object_listing>& listing)
    {
        if (!listing) {
            this->on_failure(listing.error());
            return;
        }
        if (this->is_away) {
            this->is_away = false;
            write_event(log_event::store_recovered,
                        {{"prefix", this->prefix}, {"revision", std::to_string(listing->revision)}});
            this->observer.on_store_recovered();
        }
        this->delay = shortest_retry;
        this->has_listed = this->has_listed || listing->is_snapshot;
        if (this->observer.on_listing(*listing) == watch_action::relist) {
            this->list();
            return;
        }
        if (listing->objects.empty() || this->pace.coalescing_delay.count() == 0) {
            this->watch();
            return;
        }
        this->retry = this->loop.run_after(this->pace.coalescing_delay, [this] { this->watch(); });
    }

    void on_failure(const error& cause)
    {
        if (cause.code == result_code::history_lost) {
            write_event(log_event::store_history_lost,
                        {{"prefix", this->prefix},
                         {"known_revision", std::to_string(this->observer.known_revision())},
                         {"detail", cause.detail}});
            // A store that loses every history must not be asked in a tight circle.
            this->retry = this->loop.run_after(shortest_retry, [this] { this->list(); });
            return;
        }
        if (!this->is_away) {
            this->is_away = true;
            write_event(log_event::store_unavailable,
                        {{"prefix", this->prefix},
                         {"known_revision", std::to_string(this->observer.known_revision())},
                         {"detail", cause.detail}});
            this->observer.on_store_unavailable(cause);
        }
        const auto spread = static_cast<std::uint64_t>(this->delay.count());
        const std::chrono::milliseconds jitter{static_cast<std::int64_t>(this->random.next() % spread)};
        const auto pause = this->delay / 2 + jitter;
        this->delay = std::min(this->delay * 2, longest_retry);
        this->retry = this->loop.run_after(pause, [this] {
            if (this->has_listed) {
                this->watch();
            } else {
                this->list();
            }
        });
    }

    event_loop& loop;
    object_store& store;
    random_source& random;
    std::string prefix;
    object_watch_handler& observer;
    watch_options pace;
    bool running = false;
    bool is_away = false;
    bool has_listed = false;
    std::uint64_t generation = 0;
    std::chrono::milliseconds delay = shortest_retry;
    std::unique_ptr<loop_timer> retry;
};

} // namespace

std::shared_ptr<object_watcher> object_watcher::create(event_loop& loop,
                                                       object_store& store,
                                                       random_source& random,
                                                       std::string prefix,
                                                       object_watch_handler& observer,
                                                       const watch_options& pace)
{
    return std::make_shared<watching_follower>(loop, store, random, std::move(prefix), observer, pace);
}

} // namespace tanager
