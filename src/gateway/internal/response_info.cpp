#include "gateway/types/response_info.h"

namespace tanager {

namespace {

constexpr int status_first_failure = 400;

} // namespace

std::string_view name_of(response_id id)
{
    switch (id) {
    case response_id::own:
        return "own";
    case response_id::another:
        return "another";
    case response_id::none:
        return "none";
    case response_id::ambiguous:
        return "ambiguous";
    }
    return "unlisted";
}

std::string_view name_of(execution_state state)
{
    switch (state) {
    case execution_state::executed:
        return "executed";
    case execution_state::not_executed:
        return "not_executed";
    case execution_state::unknown:
        return "unknown";
    }
    return "unlisted";
}

response_owner response_info::owner() const
{
    switch (this->id) {
    case response_id::own:
        return response_owner::this_call;
    case response_id::another:
        return response_owner::another_call;
    case response_id::none:
    case response_id::ambiguous:
        return response_owner::unnamed;
    }
    return response_owner::unnamed;
}

execution_state judge_execution(const response_info& head)
{
    if (head.id == response_id::another || head.id == response_id::ambiguous) {
        return execution_state::unknown;
    }
    if (head.states_not_executed) {
        const bool is_consistent = head.status >= status_first_failure && !head.has_digest;
        return is_consistent ? execution_state::not_executed : execution_state::unknown;
    }
    return head.matches_request ? execution_state::executed : execution_state::unknown;
}

execution_state judge_execution(call_progress progress_at_failure)
{
    return progress_at_failure == call_progress::not_sent ? execution_state::not_executed
                                                          : execution_state::unknown;
}

} // namespace tanager
