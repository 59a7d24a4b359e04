#include "duties/duty_owner.h"

#include "logging/event_log.h"

#include <nlohmann/json.hpp>

namespace tanager {

namespace {

using nlohmann::json;

constexpr const char* duty_prefix = "duties/";

// What the object of a duty says. Any process that reaches the store can write it.
struct duty_record {
    std::string holder;
    std::string instance;
    std::string text;

    friend bool operator==(const duty_record&, const duty_record&) = default;
};

duty_record decode(const std::string& value)
{
    const auto record = json::parse(value, nullptr, false);
    const auto read = [&record](const char* name) {
        const auto field = record.is_object() ? record.find(name) : record.end();
        return field != record.end() && field->is_string() ? field->get<std::string>() : std::string{};
    };
    return {read("holder"), read("instance"), read("text")};
}

} // namespace

duty_owner::duty_owner(const clock& time,
                       object_store& store,
                       std::string subject,
                       std::uint64_t instance,
                       const duty_settings& settings,
                       std::function<void(const std::string&)> acquired)
    : time(time),
      store(store),
      subject(std::move(subject)),
      instance(instance),
      settings(settings),
      on_acquired(std::move(acquired)),
      own_lease(time, settings)
{
}

duty_lease& duty_owner::lease()
{
    return this->own_lease;
}

const duty_lease& duty_owner::lease() const
{
    return this->own_lease;
}

std::string duty_owner::encode(const std::string& text) const
{
    return json{
        {"holder", this->settings.holder}, {"instance", std::to_string(this->instance)}, {"text", text}}
        .dump(-1, ' ', false, json::error_handler_t::replace);
}

void duty_owner::check(const std::vector<std::string>& live_peers)
{
    if (!this->own_lease.check()) {
        this->lose("standstill");
    }
    if (this->is_call_in_flight || this->has_resigned || !this->own_lease.should_acquire(live_peers)) {
        return;
    }
    this->is_call_in_flight = true;
    this->store.get(duty_prefix + this->subject,
                    [self = this->shared_from_this()](const result<stored_object>& found) {
                        self->is_call_in_flight = false;
                        self->acquire(found);
                    });
}

void duty_owner::acquire(const result<stored_object>& found)
{
    if (this->has_resigned) {
        return;
    }
    if (!found && found.error().code != result_code::object_unknown) {
        this->own_lease.record_failed_attempt();
        return;
    }
    const auto record = found ? decode(found->value) : duty_record{};
    if (found && record.holder.empty()) {
        write_event(log_event::store_object_unreadable,
                    {{"object", found->name}, {"detail", "no holder of a duty"}});
    }
    this->write_holder(found ? found->version : 0,
                       record.text,
                       this->is_lease_known && record.instance == std::to_string(this->instance));
}

void duty_owner::write_holder(std::uint64_t expected, const std::string& text, bool was_held_here)
{
    this->is_call_in_flight = true;
    // If the answer is lost, the next attempt must not take the object for one of an earlier holding.
    this->is_lease_known = was_held_here;
    this->store.put(duty_prefix + this->subject,
                    this->encode(text),
                    expected,
                    [self = this->shared_from_this(), text, was_held_here, requested_at = this->time.now()](
                        const result<std::uint64_t>& version) {
                        self->is_call_in_flight = false;
                        if (!version || self->has_resigned) {
                            self->own_lease.record_failed_attempt();
                            return;
                        }
                        self->own_lease.record_acquired(*version, requested_at, was_held_here);
                        self->is_lease_known = true;
                        write_event(log_event::duty_taken,
                                    {{"subject", self->subject},
                                     {"token", std::to_string(self->own_lease.token())},
                                     {"held_before", was_held_here ? "yes" : "no"}});
                        self->on_acquired(text);
                    });
}

bool duty_owner::is_ready() const
{
    return this->own_lease.is_holder() && !this->is_call_in_flight;
}

void duty_owner::update(const std::string& text, std::function<void(bool)> callback)
{
    this->is_call_in_flight = true;
    this->store.put(duty_prefix + this->subject,
                    this->encode(text),
                    this->own_lease.version(),
                    [self = this->shared_from_this(),
                     callback = std::move(callback),
                     requested_at = this->time.now()](const result<std::uint64_t>& version) {
                        self->is_call_in_flight = false;
                        // A standstill, another holder or the end of this one may have come meanwhile.
                        if (version && self->own_lease.is_holder()) {
                            self->own_lease.record_confirmed(*version, requested_at);
                            callback(true);
                            return;
                        }
                        // The update may have taken effect nevertheless: the object is read again.
                        if (self->own_lease.is_holder()) {
                            self->own_lease.step_down();
                            self->lose(version ? "step down" : version.error().detail);
                        }
                        callback(false);
                    });
}

void duty_owner::lose(const std::string& cause)
{
    write_event(
        log_event::duty_lost,
        {{"subject", this->subject}, {"token", std::to_string(this->own_lease.token())}, {"cause", cause}});
}

void duty_owner::resign()
{
    if (this->own_lease.is_holder()) {
        this->own_lease.step_down();
        this->lose("resigned");
    }
    this->has_resigned = true;
}

} // namespace tanager
