#include "claims/internal/claim_shard.h"

#include <algorithm>

namespace tanager {

namespace {

constexpr std::chrono::milliseconds retry_delay{100};

} // namespace

claim_shard::claim_shard(const claim_context& context, std::string name)
    : context(context), name(std::move(name))
{
}

void claim_shard::claim(const claim_request& request, claim_registry::claim_callback callback)
{
    const auto deadline = this->context.time.now() + this->context.store_timeout;
    this->enqueue({change_kind::claim, request, {}, std::nullopt, std::move(callback), deadline, {}});
}

void claim_shard::record(const claim_request& request,
                         claim_state state,
                         const std::optional<claim_answer>& answer)
{
    this->enqueue({change_kind::record, request, state, answer, nullptr, {}, {}});
}

void claim_shard::release(const claim_request& request)
{
    this->enqueue({change_kind::release, request, {}, std::nullopt, nullptr, {}, {}});
}

void claim_shard::enqueue(pending_change change)
{
    this->waiting.push_back(std::move(change));
    this->start_update();
}

void claim_shard::start_update()
{
    if (this->is_busy || this->waiting.empty()) {
        return;
    }
    this->is_busy = true;
    this->context.store.get(this->name, [weak = this->weak_from_this()](const result<stored_object>& object) {
        if (const auto alive = weak.lock()) {
            alive->on_read(object);
        }
    });
}

void claim_shard::on_read(const result<stored_object>& object)
{
    const bool is_new = !object && object.error().code == result_code::object_unknown;
    if (!object && !is_new) {
        this->requeue_and_retry(retry_delay);
        return;
    }
    auto table = claim_table::parse(is_new ? std::string{} : object->value);
    if (!table) {
        this->requeue_and_retry(retry_delay);
        return;
    }
    const claim_table before = *table;
    this->batch = std::move(this->waiting);
    this->waiting.clear();
    table->rotate_if_due(this->context.time.wall_now(), this->context.window_length);
    for (auto& change : this->batch) {
        this->apply(change, *table);
    }
    this->batch_window = table->window();
    if (*table == before) {
        this->complete_batch();
        return;
    }
    const std::uint64_t expected = is_new ? 0 : object->version;
    this->context.store.put(this->name,
                            table->to_text(),
                            expected,
                            [weak = this->weak_from_this()](const result<std::uint64_t>& version) {
                                if (const auto alive = weak.lock()) {
                                    alive->on_written(version);
                                }
                            });
}

void claim_shard::apply(pending_change& change, claim_table& table) const
{
    switch (change.kind) {
    case change_kind::claim:
        change.result = table.claim(change.request);
        change.result.shard = this->name;
        return;
    case change_kind::record:
        table.record(change.request, change.state, change.answer);
        return;
    case change_kind::release:
        table.release(change.request);
        return;
    }
}

void claim_shard::on_written(const result<std::uint64_t>& version)
{
    if (version) {
        this->complete_batch();
        return;
    }
    // If only the response was lost, the write took effect; reading and applying again covers both cases.
    const bool is_conflict = version.error().code == result_code::version_conflict;
    this->requeue_and_retry(is_conflict ? duration{} : retry_delay);
}

void claim_shard::complete_batch()
{
    const auto completed = std::move(this->batch);
    this->batch.clear();
    this->is_busy = false;
    this->context.on_window(this->name, this->batch_window);
    for (const auto& change : completed) {
        if (change.callback) {
            change.callback(change.result);
        }
    }
    this->start_update();
}

void claim_shard::requeue_and_retry(duration delay)
{
    this->waiting.insert(this->waiting.begin(),
                         std::make_move_iterator(this->batch.begin()),
                         std::make_move_iterator(this->batch.end()));
    this->batch.clear();
    this->expire_claims();
    this->context.run_after(delay, [weak = this->weak_from_this()] {
        if (const auto alive = weak.lock()) {
            alive->is_busy = false;
            alive->start_update();
        }
    });
}

void claim_shard::expire_claims()
{
    const auto now = this->context.time.now();
    std::vector<claim_registry::claim_callback> expired_callbacks;
    for (auto& change : this->waiting) {
        if (change.kind == change_kind::claim && change.deadline <= now) {
            // A write of the claim may have taken effect or may still do so, so the claim is released as soon
            // as the store responds.
            change.kind = change_kind::release;
            expired_callbacks.push_back(std::move(change.callback));
            change.callback = nullptr;
        }
    }
    for (const auto& callback : expired_callbacks) {
        callback({claim_outcome::store_unavailable, this->name, 0, std::nullopt});
    }
}

std::size_t claim_shard::pending_writes() const
{
    return this->waiting.size() + this->batch.size();
}

} // namespace tanager
