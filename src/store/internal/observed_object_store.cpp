#include "store/observed_object_store.h"

#include "logging/event_log.h"
#include "store/types/fencing_token.h"

#include <type_traits>
#include <utility>

namespace tanager {

namespace {

// Objects have many names, and a label of a metric only a few values.
std::string prefix_of(const std::string& name)
{
    return name.substr(0, name.find('/') + 1);
}

} // namespace

observed_object_store::observed_object_store(const clock& time,
                                             metrics_registry& metrics,
                                             object_store& store)
    : time(time), metrics(metrics), store(store)
{
}

void observed_object_store::list(const std::string& prefix, listing_callback callback)
{
    this->store.list(prefix, this->observe("list", prefix, std::move(callback)));
}

void observed_object_store::watch(const std::string& prefix,
                                  std::uint64_t since,
                                  std::chrono::milliseconds max_wait,
                                  listing_callback callback)
{
    this->store.watch(prefix, since, max_wait, this->observe("watch", prefix, std::move(callback)));
}

void observed_object_store::get(const std::string& name, object_callback callback)
{
    this->store.get(name, this->observe("get", name, std::move(callback)));
}

void observed_object_store::put(const std::string& name,
                                const std::string& value,
                                std::uint64_t expected,
                                version_callback callback)
{
    this->store.put(name, value, expected, this->observe("put", name, std::move(callback)));
}

void observed_object_store::remove(const std::string& name, std::uint64_t expected, version_callback callback)
{
    this->store.remove(name, expected, this->observe("remove", name, std::move(callback)));
}

std::uint64_t observed_object_store::known_era() const
{
    return this->store.known_era();
}

template <typename value>
std::function<void(const result<value>&)> observed_object_store::observe(
    std::string_view call, const std::string& name, std::function<void(const result<value>&)> callback)
{
    return
        [this, call, prefix = prefix_of(name), started_at = this->time.now(), callback = std::move(callback)](
            const result<value>& outcome) {
            this->record(call, prefix, outcome ? nullptr : &outcome.error(), this->time.now() - started_at);
            if constexpr (std::is_same_v<value, object_listing>) {
                if (outcome) {
                    this->metrics.set_gauge("tanager_store_era",
                                            static_cast<double>(era_of(outcome->revision)));
                }
                if (outcome && outcome->is_snapshot) {
                    this->metrics.set_gauge("tanager_store_list_incomplete",
                                            outcome->is_incomplete ? 1 : 0,
                                            R"(prefix=")" + prefix + '"');
                }
            }
            callback(outcome);
        };
}

void observed_object_store::record(std::string_view call,
                                   const std::string& prefix,
                                   const error* cause,
                                   duration elapsed)
{
    const std::string outcome{cause == nullptr ? "done" : name_of(cause->code)};
    this->metrics.increment_counter("tanager_store_calls_total",
                                    R"(call=")" + std::string{call} + R"(",prefix=")" + prefix +
                                        R"(",outcome=")" + outcome + '"');
    const auto elapsed_ms = std::chrono::duration_cast<std::chrono::milliseconds>(elapsed).count();
    write_event(log_event::store_called,
                {{"call", std::string{call}},
                 {"prefix", prefix},
                 {"outcome", outcome},
                 {"ms", std::to_string(elapsed_ms)},
                 {"detail", cause == nullptr ? "-" : cause->detail}});
}

} // namespace tanager
