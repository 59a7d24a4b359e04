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

class store_catalogue_watcher final : public catalogue_watcher, private object_watch_handler {
public:
    store_catalogue_watcher(event_loop& loop,
                            object_store& store,
                            catalogue& local_catalogue,
                            random_source& random,
                            std::function<void()> on_store_response)
        : local_catalogue(local_catalogue),
          on_store_response(std::move(on_store_response)),
          watcher(object_watcher::create(loop, store, random, catalogue_prefix, *this))
    {
    }

    void start() override
    {
        this->watcher->start();
    }

    void stop() override
    {
        this->watcher->stop();
    }

private:
    std::uint64_t known_revision() const override
    {
        return this->local_catalogue.revision();
    }

    watch_action on_listing(const object_listing& listing) override
    {
        this->on_store_response();
        const auto outcome = this->local_catalogue.apply(to_delta(listing));
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

    catalogue& local_catalogue;
    std::function<void()> on_store_response;
    std::shared_ptr<object_watcher> watcher;
};

} // namespace

std::shared_ptr<catalogue_watcher> catalogue_watcher::create(event_loop& loop,
                                                             object_store& store,
                                                             catalogue& local_catalogue,
                                                             random_source& random,
                                                             std::function<void()> on_store_response)
{
    return std::make_shared<store_catalogue_watcher>(
        loop, store, local_catalogue, random, std::move(on_store_response));
}

} // namespace tanager
