// Encodes and decodes the HTTP messages for engine reports and role orders.
#pragma once

#include "base/types/result.h"
#include "fleet/types/leaving_statement.h"
#include "net/types/http_types.h"
#include "roles/types/role_types.h"

namespace tanager {

class engine_codec {
public:
    engine_codec() = default;
    engine_codec(const engine_codec&) = delete;
    engine_codec& operator=(const engine_codec&) = delete;
    engine_codec(engine_codec&&) = delete;
    engine_codec& operator=(engine_codec&&) = delete;
    virtual ~engine_codec() = default;

    virtual http_request encode_report_request(const std::string& server_id) const = 0;

    // Fails with backend_answer_malformed.
    virtual result<engine_report> decode_report(const http_response& response) const = 0;

    virtual http_request encode_order(const role_order& order) const = 0;

    // Returns of which server a response to a report request or an order states that it leaves.
    virtual leaving_statement read_leaving(const http_response& response) const = 0;

    // Returns whether the engine has accepted the order, or had already executed it.
    virtual bool is_accepted(const http_response& response) const = 0;
};

} // namespace tanager
