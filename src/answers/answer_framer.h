// Splits the answer of one attempt into frames with byte offsets, on the sending side.
#pragma once

#include "base/digest.h"
#include "base/types/result.h"
#include "protocol/types/attempt_id.h"

#include <string>
#include <string_view>
#include <tanager.pb.h>

namespace tanager {

class answer_framer {
public:
    explicit answer_framer(const attempt_id& attempt);

    protocol::answer_frame make_head(int status) const;
    protocol::answer_frame make_data(std::string_view data);

    // Makes the frame that ends the answer, with its length and checksum.
    protocol::answer_frame make_end() const;

    // Makes the frame that ends the attempt without a complete answer. `not_run` states that the request was
    // not run.
    protocol::answer_frame make_failure(const error& cause, bool not_run) const;

    // Appends `next` to `before`. Returns false, and changes nothing, when `before` ends the answer, `next`
    // has a head, or the merged frame would have more than `max_data_bytes` bytes of data.
    static bool
    try_merge(protocol::answer_frame& before, const protocol::answer_frame& next, std::size_t max_data_bytes);

private:
    protocol::answer_frame make_frame() const;

    attempt_id attempt;
    std::uint64_t offset = 0;
    incremental_checksum checksum;
};

} // namespace tanager
