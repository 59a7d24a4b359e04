#pragma once

#include "answers/answer_framer.h"
#include "entry/agent_candidate_source.h"
#include "entry/agent_client.h"

#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace tanager {

// Agents that always have free capacity.
class fake_agent_candidate_source final : public agent_candidate_source {
public:
    std::vector<agent_candidate> candidates(const pool_entry& pool,
                                            const member_entry& /*member*/) const override
    {
        std::vector<agent_candidate> rows;
        for (const auto& agent : pool.agents) {
            rows.push_back({agent.host, true, true, 10, 10, 10, 0}); // NOLINT(*-magic-numbers)
        }
        return rows;
    }

    agent_target target_of(const pool_entry& /*pool*/, const std::string& host) const override
    {
        return {host, host, this->incarnation_of(host)};
    }

    void add_load(const std::string& /*host*/, const std::string& /*member*/, std::uint32_t pieces) override
    {
        this->open_pieces += pieces;
    }

    void
    remove_load(const std::string& /*host*/, const std::string& /*member*/, std::uint32_t pieces) override
    {
        this->open_pieces -= pieces;
    }

    std::uint64_t incarnation_of(const std::string& host) const override
    {
        const auto found = this->incarnations.find(host);
        return found == this->incarnations.end() ? 1 : found->second;
    }

    std::map<std::string, std::uint64_t> incarnations;
    std::int64_t open_pieces = 0;
};

// One dispatched attempt, whose frames a test sends.
class fake_attempt final : public attempt_call {
public:
    fake_attempt(const protocol::dispatch_request& request, std::shared_ptr<response_listener> listener)
        : request(request), framer(from_message(request.attempt())), listener(std::move(listener))
    {
    }

    void read_next() override {}

    void cancel() override
    {
        this->is_cancelled = true;
        this->listener.reset();
    }

    void deliver(const protocol::answer_frame& frame)
    {
        if (const auto hears = this->listener) {
            hears->on_frame(frame);
        }
    }

    // Sends a complete answer: head, data and end.
    void send_complete_answer(const std::string& body)
    {
        this->deliver(this->framer.make_head(200)); // NOLINT(*-magic-numbers)
        this->deliver(this->framer.make_data(body));
        this->deliver(this->framer.make_end());
    }

    void send_failure(result_code code, bool not_run)
    {
        this->deliver(this->framer.make_failure({code, "by the test"}, not_run));
    }

    void disconnect()
    {
        if (const auto hears = std::exchange(this->listener, nullptr)) {
            hears->on_connection_closed();
        }
    }

    protocol::dispatch_request request;
    answer_framer framer;
    bool is_cancelled = false;

private:
    std::shared_ptr<response_listener> listener;
};

// Records dispatches and resolves attempts with `scripted_resolutions`, then as unreachable.
class fake_agent_client final : public agent_client {
public:
    std::shared_ptr<attempt_call> dispatch(const std::string& address,
                                           const protocol::dispatch_request& request,
                                           std::shared_ptr<response_listener> listener) override
    {
        this->dispatched_hosts.push_back(address);
        this->attempts.push_back(std::make_shared<fake_attempt>(request, std::move(listener)));
        return this->attempts.back();
    }

    void resolve_attempt(const std::string& /*address*/,
                         const attempt_id& /*attempt*/,
                         std::uint64_t /*agent_incarnation*/,
                         std::function<void(attempt_resolution)> callback) override
    {
        ++this->resolve_calls;
        const auto outcome = this->scripted_resolutions.empty() ? attempt_resolution::unreachable
                                                                : this->scripted_resolutions.front();
        if (!this->scripted_resolutions.empty()) {
            this->scripted_resolutions.pop_front();
        }
        callback(outcome);
    }

    std::vector<std::string> dispatched_hosts;
    std::vector<std::shared_ptr<fake_attempt>> attempts;
    std::deque<attempt_resolution> scripted_resolutions;
    int resolve_calls = 0;
};

} // namespace tanager
