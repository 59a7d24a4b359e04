// What a server's response tells of the request: whether it is the response to that request, and whether the
// server has executed the request.
#pragma once

#include "fleet/types/leaving_statement.h"
#include "net/http_client.h"

#include <string_view>

namespace tanager {

// Which request's id a response carries.
enum class response_id {
    own,
    another,
    none,
    ambiguous // several, or one that is no single word: the heads of two messages were joined
};

std::string_view name_of(response_id id);

// Whether a server has executed a request. `unknown` counts as executed wherever a second execution or a
// report that it was not executed would be wrong.
enum class execution_state { executed, not_executed, unknown };

std::string_view name_of(execution_state state);

// The facts decoded from the head of a server's response.
struct response_info {
    int status = 0;
    response_id id = response_id::none;
    bool matches_request = false;     // carries the id of this request, or neither has one
    bool has_digest = false;          // carries a digest set by the server
    bool states_not_executed = false; // the server states that it did not execute the request
    bool is_misdirected = false;      // another server now uses the address
    leaving_statement leaving = leaving_statement::none;

    // Returns whose response it is, for the connection that brought it.
    response_owner owner() const;

    friend bool operator==(const response_info&, const response_info&) = default;
};

// The only judges of whether an attempt has been executed, from its response or its failure.
//
// Load pattern: servers refuse many requests, and send some responses a second time, late, on the same
// connection. A refusal without an id is believed because no earlier response of its connection can have been
// without one: a connection ends with the first such response. One with the request's own id is believed
// because a connection never carries the same id twice. A response that states both an execution and a
// refusal is that of two messages.
execution_state judge_execution(const response_info& head);
execution_state judge_execution(call_progress progress_at_failure);

} // namespace tanager
