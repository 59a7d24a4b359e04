// Requests whose body is the text of another request.
#pragma once

#include "test_case.h"

namespace review {

// The head of a request; `further` is appended to its headers.
std::string make_head(const std::string& method,
                      const std::string& path,
                      const std::string& id,
                      const std::string& further);

// The text of a whole order with this id; as the body of another request it is data, not a request.
std::string make_order_text(const std::string& id);

// A server that works on each request for some milliseconds and answers it.
backend_server& add_order_server(test_case& test, const std::string& id);

// Sends bytes to the gateway on a new connection and records all that comes back within a second.
void exchange_bytes(case_record& record, const std::string& gateway, const std::string& bytes);

// Returns whether a server has run a request with this id.
bool has_run(const test_case& test, const std::string& id);

} // namespace review
