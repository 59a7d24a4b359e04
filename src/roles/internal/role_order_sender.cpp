#include "roles/role_order_sender.h"

#include "logging/event_log.h"

#include <nlohmann/json.hpp>

namespace tanager {

namespace {

constexpr const char* holder_object = "roles/holder";
// An update that took longer than this says nothing of the present any more.
constexpr std::chrono::milliseconds update_freshness{500};
constexpr std::chrono::milliseconds call_timeout{1'000};
// An order that got no answer may still be carried out within this time; the engine's report is read after
// it.
constexpr std::chrono::seconds late_execution{15};

std::string name_of_role(engine_role role)
{
    return role == engine_role::prefill ? "prefill" : "decode";
}

class store_role_orders final : public role_order_sender,
                                public std::enable_shared_from_this<store_role_orders> {
public:
    store_role_orders(const clock& time,
                      object_store& store,
                      http_client& client,
                      const engine_codec& codec,
                      const role_order_settings& settings)
        : time(time), store(store), client(client), codec(codec), settings(settings)
    {
    }

    bool prepare_to_send() override
    {
        const auto now = this->time.now();
        if (this->pending && this->pending_until <= now && !this->is_calling) {
            write_event(log_event::order_settled, {{"server", *this->pending}, {"outcome", "presumed lost"}});
            this->pending.reset();
        }
        if (this->is_calling || this->pending) {
            return false;
        }
        if (!this->is_holder) {
            this->take_over();
            return false;
        }
        return now >= this->orders_from;
    }

    void step_down() override
    {
        this->is_holder = false;
    }

    std::optional<std::string> engine_with_pending_order() const override
    {
        return this->pending;
    }

    void
    send(const backend_server& engine, const role_change& change, std::function<void(bool)> on_end) override
    {
        this->ended = std::move(on_end);
        this->pending = engine.id;
        this->is_calling = true;
        http_call_options options;
        options.timeout = call_timeout;
        this->client.fetch(
            engine.address,
            this->codec.encode_report_request(engine.id),
            options,
            [self = this->shared_from_this(), engine, change](const auto& reply) {
                const auto report = reply.has_value() ? self->codec.decode_report(*reply)
                                                      : fail(result_code::connection_lost, engine.id);
                if (!report || report->is_busy || report->role == change.role) {
                    self->abandon(report ? "engine is busy or has the role" : report.error().detail);
                    return;
                }
                self->confirm_authority(engine, change, report->accepted_order_count);
            });
    }

private:
    void take_over()
    {
        this->is_calling = true;
        this->store.get(holder_object, [self = this->shared_from_this()](const result<stored_object>& found) {
            const bool is_missing = !found && found.error().code == result_code::object_unknown;
            if (!found && !is_missing) {
                self->is_calling = false;
                return;
            }
            self->claim(is_missing ? 0 : found->version);
        });
    }

    std::string own_value(const std::string& engine) const
    {
        return nlohmann::json{
            {"holder", this->settings.holder}, {"engine", engine}, {"order", this->order_number}}
            .dump();
    }

    void claim(std::uint64_t expected)
    {
        ++this->order_number;
        this->store.put(holder_object,
                        this->own_value({}),
                        expected,
                        [self = this->shared_from_this()](const result<std::uint64_t>& written) {
                            self->is_calling = false;
                            if (!written) {
                                return;
                            }
                            self->is_holder = true;
                            self->token = *written;
                            self->orders_from = self->time.now() + self->settings.lease;
                            write_event(log_event::order_authority,
                                        {{"outcome", "taken"}, {"token", std::to_string(self->token)}});
                        });
    }

    void confirm_authority(const backend_server& engine, const role_change& change, std::uint64_t accepted)
    {
        const auto asked = this->time.now();
        ++this->order_number;
        this->store.put(holder_object,
                        this->own_value(engine.id),
                        this->token,
                        [self = this->shared_from_this(), engine, change, accepted, asked](
                            const result<std::uint64_t>& written) {
                            // After an update whose answer was lost, the next one conflicts and authority is
                            // taken anew.
                            if (!written || self->time.now() - asked > update_freshness) {
                                self->is_holder = false;
                                write_event(log_event::order_authority,
                                            {{"outcome", "lost"}, {"token", std::to_string(self->token)}});
                                self->abandon("authority was not confirmed");
                                return;
                            }
                            self->token = *written;
                            self->order(engine, change, accepted);
                        });
    }

    void order(const backend_server& engine, const role_change& change, std::uint64_t accepted)
    {
        const role_order order{engine.id, change.role, this->settings.holder, this->token, accepted};
        write_event(log_event::order_sent,
                    {{"server", engine.id},
                     {"role", name_of_role(change.role)},
                     {"token", std::to_string(this->token)},
                     {"expected_orders", std::to_string(accepted)}});
        this->pending_until = this->time.now() + late_execution;
        http_call_options options;
        options.timeout = call_timeout;
        options.reuse_connection = false;
        this->client.fetch(
            engine.address,
            this->codec.encode_order(order),
            options,
            [self = this->shared_from_this(), engine](const auto& reply) {
                self->is_calling = false;
                if (!reply.has_value() && reply.error().progress == call_progress::maybe_sent) {
                    write_event(log_event::order_settled, {{"server", engine.id}, {"outcome", "unknown"}});
                    self->ended(true);
                    return;
                }
                const bool accepted = reply.has_value() && self->codec.is_accepted(*reply);
                write_event(log_event::order_settled,
                            {{"server", engine.id}, {"outcome", accepted ? "accepted" : "refused"}});
                self->pending.reset();
                self->ended(accepted);
            });
    }

    void abandon(const std::string& reason)
    {
        write_event(log_event::order_settled, {{"server", *this->pending}, {"outcome", reason}});
        this->is_calling = false;
        this->pending.reset();
        this->ended(false);
    }

    const clock& time;
    object_store& store;
    http_client& client;
    const engine_codec& codec;
    role_order_settings settings;
    bool is_holder = false;
    bool is_calling = false;
    std::uint64_t token = 0;
    std::uint64_t order_number = 0;
    time_point orders_from;
    std::optional<std::string> pending;
    std::function<void(bool)> ended;
    time_point pending_until;
};

} // namespace

std::shared_ptr<role_order_sender> role_order_sender::create(const clock& time,
                                                             object_store& store,
                                                             http_client& client,
                                                             const engine_codec& codec,
                                                             const role_order_settings& settings)
{
    return std::make_shared<store_role_orders>(time, store, client, codec, settings);
}

} // namespace tanager
