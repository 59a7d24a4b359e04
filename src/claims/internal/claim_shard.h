#pragma once

#include "claims/claim_registry.h"
#include "claims/claim_table.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace tanager {

// Writes the changes of one shard, one conditional update at a time: reads the object, applies all waiting
// changes and writes it back.
class claim_shard : public std::enable_shared_from_this<claim_shard> {
public:
    claim_shard(const claim_context& context, std::string name);

    void claim(const claim_request& request, claim_registry::claim_callback callback);
    void record(const claim_request& request, claim_state state, const std::optional<claim_answer>& answer);
    void release(const claim_request& request);

    std::size_t pending_writes() const;

private:
    enum class change_kind { claim, record, release };

    struct pending_change {
        change_kind kind = change_kind::claim;
        claim_request request;
        claim_state state = claim_state::running;
        std::optional<claim_answer> answer;
        claim_registry::claim_callback callback;
        time_point deadline;
        claim_result result;
    };

    void enqueue(pending_change change);
    void start_update();
    void on_read(const result<stored_object>& object);
    void on_written(const result<std::uint64_t>& version);
    void apply(pending_change& change, claim_table& table) const;
    void complete_batch();
    void requeue_and_retry(duration delay);
    void expire_claims();

    claim_context context;
    std::string name;
    std::vector<pending_change> waiting;
    std::vector<pending_change> batch;
    std::uint64_t batch_window = 0;
    bool is_busy = false;
};

} // namespace tanager
