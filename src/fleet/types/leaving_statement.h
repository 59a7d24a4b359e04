// What a server states of itself in an answer: that it leaves.
#pragma once

#include <string_view>

namespace tanager {

// Of which server an answer states that it leaves.
enum class leaving_statement {
    none,
    asked_server,  // the one that the request was for
    address_holder // another one, to which the address belongs now
};

// The kind of answer that carries a statement.
enum class answer_kind { response, hedge, prefill, cache_release, engine_report, role_order };

constexpr std::string_view name_of(answer_kind kind)
{
    switch (kind) {
    case answer_kind::response:
        return "response";
    case answer_kind::hedge:
        return "hedge";
    case answer_kind::prefill:
        return "prefill";
    case answer_kind::cache_release:
        return "cache_release";
    case answer_kind::engine_report:
        return "report";
    case answer_kind::role_order:
        return "order";
    }
    return "unlisted";
}

} // namespace tanager
