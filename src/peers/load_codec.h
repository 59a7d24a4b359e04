// Encodes load reports as datagrams and decodes them.
#pragma once

#include "base/types/result.h"
#include "peers/types/load_report.h"

#include <string>
#include <string_view>

namespace tanager {

// A report with the name of its sender.
struct named_report {
    std::string sender;
    load_report report;

    friend bool operator==(const named_report&, const named_report&) = default;
};

std::string encode_report(const named_report& named);

// Fails with request_malformed.
result<named_report> decode_report(std::string_view datagram);

} // namespace tanager
