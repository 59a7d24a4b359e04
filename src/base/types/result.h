// The result type of functions that can fail.
#pragma once

#include "base/types/result_code.h"

#include <string>
#include <tl/expected.hpp>

namespace tanager {

// A result code with a text that names the affected object.
struct error {
    result_code code = result_code::invalid_argument;
    std::string detail;

    friend bool operator==(const error&, const error&) = default;
};

template <class value_type>
using result = tl::expected<value_type, error>;

// Creates the error alternative of a result.
inline tl::unexpected<error> fail(result_code code, std::string detail)
{
    return tl::make_unexpected(error{code, std::move(detail)});
}

} // namespace tanager
