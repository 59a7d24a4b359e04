#include "roles/role_order_sender.h"

#include "logging/event_log.h"

#include <map>
#include <nlohmann/json.hpp>
#include <optional>

namespace tanager {

namespace {

constexpr const char* holder_object = "roles/holder";
// After a slower update, another process may already hold the lease.
constexpr std::chrono::milliseconds max_update_age{500};
constexpr std::chrono::milliseconds call_timeout{1'000};
// A report has a row for each running request.
constexpr std::size_t max_response_bytes = std::size_t{1024} * 1024;
// An order without a response may still be executed within this time; the engine's report is read only after
// it.
constexpr std::chrono::seconds max_execution_delay{15};

// Reports and responses to orders carry no id. On a connection that was used before, a second copy of an
// earlier response could be taken for them.
http_call_options make_call_options()
{
    http_call_options options;
    options.timeout = call_timeout;
    options.reuse_connection = false;
    options.max_collected_bytes = max_response_bytes;
    return options;
}

std::string name_of_role(engine_role role)
{
    return role == engine_role::prefill ? "prefill" : "decode";
}

class store_role_order_sender final : public role_order_sender,
                                      public std::enable_shared_from_this<store_role_order_sender> {
public:
    store_role_order_sender(const clock& time,
                            object_store& store,
                            http_client& client,
                            const engine_codec& codec,
                            engine_availability& engines,
                            const role_order_settings& settings)
        : time(time), store(store), client(client), codec(codec), engines(engines), settings(settings)
    {
    }

    bool prepare_to_send() override
    {
        const auto now = this->time.now();
        std::erase_if(this->unanswered_until, [&](const auto& order) {
            const bool is_over = order.second <= now;
            if (is_over) {
                write_event(log_event::order_settled,
                            {{"server", order.first}, {"outcome", "presumed lost"}});
            }
            return is_over;
        });
        if (this->is_call_in_flight) {
            return false;
        }
        if (!this->is_holder) {
            this->take_over();
            return false;
        }
        return now >= this->orders_allowed_at;
    }

    void step_down() override
    {
        this->is_holder = false;
    }

    bool is_settled(const std::string& engine_id) const override
    {
        return this->engine_in_flight != engine_id && !this->unanswered_until.contains(engine_id);
    }

    void
    send(const backend_server& engine, const role_change& change, std::function<void(bool)> on_ended) override
    {
        if (!this->is_settled(engine.id)) {
            on_ended(false);
            return;
        }
        this->on_ended = std::move(on_ended);
        this->engine_in_flight = engine.id;
        this->is_call_in_flight = true;
        this->client.fetch(
            engine.address,
            this->codec.encode_report_request(engine.id),
            make_call_options(),
            [self = this->shared_from_this(), engine, change](const auto& response) {
                self->record_leaving(engine, answer_kind::engine_report, response);
                const auto report = response.has_value() ? self->codec.decode_report(*response)
                                                         : fail(result_code::connection_lost, engine.id);
                if (!report || report->is_busy || report->role == change.role) {
                    self->abandon(report ? "engine is busy or has the role" : report.error().detail);
                    return;
                }
                if (!self->engines.takes_work(engine.id)) {
                    self->abandon("engine leaves");
                    return;
                }
                self->renew_lease(engine, change, report->accepted_order_count);
            });
    }

private:
    void record_leaving(const backend_server& engine,
                        answer_kind answer,
                        const tl::expected<http_response, http_failure>& response)
    {
        if (response.has_value()) {
            this->engines.record_leaving(
                engine, this->codec.read_leaving(*response), answer, response->status);
        }
    }

    void take_over()
    {
        this->is_call_in_flight = true;
        this->store.get(holder_object, [self = this->shared_from_this()](const result<stored_object>& found) {
            const bool is_missing = !found && found.error().code == result_code::object_unknown;
            if (!found && !is_missing) {
                self->is_call_in_flight = false;
                return;
            }
            self->acquire_lease(is_missing ? 0 : found->version);
        });
    }

    std::string holder_value(const std::string& engine) const
    {
        return nlohmann::json{
            {"holder", this->settings.holder}, {"engine", engine}, {"order", this->order_number}}
            .dump();
    }

    void acquire_lease(std::uint64_t expected_version)
    {
        ++this->order_number;
        this->store.put(holder_object,
                        this->holder_value({}),
                        expected_version,
                        [self = this->shared_from_this()](const result<std::uint64_t>& new_version) {
                            self->is_call_in_flight = false;
                            if (!new_version) {
                                return;
                            }
                            self->is_holder = true;
                            self->token = *new_version;
                            self->orders_allowed_at = self->time.now() + self->settings.lease;
                            write_event(log_event::order_authority,
                                        {{"outcome", "taken"}, {"token", std::to_string(self->token)}});
                        });
    }

    void
    renew_lease(const backend_server& engine, const role_change& change, std::uint64_t accepted_order_count)
    {
        const auto requested_at = this->time.now();
        ++this->order_number;
        this->store.put(holder_object,
                        this->holder_value(engine.id),
                        this->token,
                        [self = this->shared_from_this(), engine, change, accepted_order_count, requested_at](
                            const result<std::uint64_t>& new_version) {
                            // After an update whose response was lost, the next one conflicts, and the lease
                            // is acquired again.
                            if (!new_version || self->time.now() - requested_at > max_update_age) {
                                self->is_holder = false;
                                write_event(log_event::order_authority,
                                            {{"outcome", "lost"}, {"token", std::to_string(self->token)}});
                                self->abandon("authority was not confirmed");
                                return;
                            }
                            self->token = *new_version;
                            if (!self->engines.takes_work(engine.id)) {
                                self->abandon("engine leaves");
                                return;
                            }
                            self->send_order(engine, change, accepted_order_count);
                        });
    }

    void
    send_order(const backend_server& engine, const role_change& change, std::uint64_t accepted_order_count)
    {
        const role_order order{
            engine.id, change.role, this->settings.holder, this->token, accepted_order_count};
        write_event(log_event::order_sent,
                    {{"server", engine.id},
                     {"role", name_of_role(change.role)},
                     {"token", std::to_string(this->token)},
                     {"expected_orders", std::to_string(accepted_order_count)}});
        const auto execution_deadline = this->time.now() + max_execution_delay;
        this->client.fetch(
            engine.address,
            this->codec.encode_order(order),
            make_call_options(),
            [self = this->shared_from_this(), engine, execution_deadline](const auto& response) {
                self->record_leaving(engine, answer_kind::role_order, response);
                self->is_call_in_flight = false;
                self->engine_in_flight.reset();
                if (!response.has_value() && response.error().progress == call_progress::maybe_sent) {
                    write_event(log_event::order_settled, {{"server", engine.id}, {"outcome", "unknown"}});
                    self->unanswered_until.insert_or_assign(engine.id, execution_deadline);
                    self->on_ended(true);
                    return;
                }
                const bool accepted = response.has_value() && self->codec.is_accepted(*response);
                write_event(log_event::order_settled,
                            {{"server", engine.id}, {"outcome", accepted ? "accepted" : "refused"}});
                self->on_ended(accepted);
            });
    }

    void abandon(const std::string& reason)
    {
        write_event(log_event::order_settled, {{"server", *this->engine_in_flight}, {"outcome", reason}});
        this->is_call_in_flight = false;
        this->engine_in_flight.reset();
        this->on_ended(false);
    }

    const clock& time;
    object_store& store;
    http_client& client;
    const engine_codec& codec;
    engine_availability& engines;
    role_order_settings settings;
    bool is_holder = false;
    bool is_call_in_flight = false;
    std::uint64_t token = 0;
    std::uint64_t order_number = 0;
    time_point orders_allowed_at;
    std::optional<std::string> engine_in_flight;
    std::function<void(bool)> on_ended;
    std::map<std::string, time_point> unanswered_until; // by engine: when an order is executed at the latest
};

} // namespace

std::shared_ptr<role_order_sender> role_order_sender::create(const clock& time,
                                                             object_store& store,
                                                             http_client& client,
                                                             const engine_codec& codec,
                                                             engine_availability& engines,
                                                             const role_order_settings& settings)
{
    return std::make_shared<store_role_order_sender>(time, store, client, codec, engines, settings);
}

} // namespace tanager
