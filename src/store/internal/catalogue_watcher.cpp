#include "store/catalogue_watcher.h"

#include "logging/event_log.h"
#include "store/object_watcher.h"

#include <string_view>

namespace tanager {

namespace {

catalogue_delta to_delta(const object_listing& listing)
{
    catalogue_delta delta{listing.since, listing.revision, listing.is_snapshot, {}};
    const std::string_view prefix{catalogue_prefix};
    for (const auto& object : listing.objects) {
        delta.objects.push_back(
            {object.name.substr(prefix.size()), object.version, object.deleted, object.value});
    }
    return delta;
}

class store_follower final : public catalogue_watcher, private object_watch_handler {
public:
    store_follower(event_loop& loop,
                   object_store& store,
                   catalogue& known,
                   random_source& random,
                   std::function<void()> read)
        : known(known),
          read(std::move(read)),
          follower(object_watcher::create(loop, store, random, catalogue_prefix, *this))
    {
    }

    void start() override
    {
        this->follower->start();
    }

    void stop() override
    {
        this->follower->stop();
    }

private:
    std::uint64_t known_revision() const override
    {
        return this->known.revision();
    }

    watch_action on_listing(const object_listing& listing) override
    {
        this->read();
        const auto outcome = this->known.apply(to_delta(listing));
        if (outcome == delta_outcome::applied) {
            write_event(log_event::catalogue_applied,
                        {{"revision", std::to_string(listing.revision)},
                         {"objects", std::to_string(listing.objects.size())},
                         {"source", "store"}});
        }
        return outcome == delta_outcome::gap ? watch_action::relist : watch_action::continue_watching;
    }

    void on_store_unavailable(const error& /*cause*/) override {}
    void on_store_recovered() override {}

    catalogue& known;
    std::function<void()> read;
    std::shared_ptr<object_watcher> follower;
};

} // namespace

std::shared_ptr<catalogue_watcher> catalogue_watcher::create(event_loop& loop,
                                                             object_store& store,
                                                             catalogue& known,
                                                             random_source& random,
                                                             std::function<void()> read)
{
    return std::make_shared<store_follower>(loop, store, known, random, std::move(read));
}

} // namespace tanager
