// Everything this process believes of the backend servers, and what it has running on each.
#pragma once

#include "fleet/server_list.h"
#include "fleet/server_trust.h"
#include "placement/types/placement_candidate.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace tanager {

// The requests that other entries have running, by server id.
class elsewhere_view {
public:
    elsewhere_view() = default;
    elsewhere_view(const elsewhere_view&) = delete;
    elsewhere_view& operator=(const elsewhere_view&) = delete;
    elsewhere_view(elsewhere_view&&) = delete;
    elsewhere_view& operator=(elsewhere_view&&) = delete;
    virtual ~elsewhere_view() = default;

    virtual std::uint32_t running_elsewhere(const std::string& server_id) const = 0;
};

class server_pool {
public:
    server_pool(const clock& time, duration return_grace, const elsewhere_view& elsewhere);

    server_list& list();

    // Returns the servers of a service that take work; those in `tried` are marked.
    std::vector<placement_candidate> candidates(const std::string& service,
                                                const std::vector<std::string>& tried) const;

    // Counts a request on a server, and takes it off with what it said of the server.
    void begin(const std::string& server_id);
    void end(const std::string& server_id);
    void record(const std::string& server_id, server_sign sign);

    const std::map<std::string, std::uint32_t>& running() const;

    // Called after each change of what is running.
    void on_change(std::function<void()> callback);

private:
    server_list known;
    server_trust trust;
    const elsewhere_view& elsewhere;
    std::map<std::string, std::uint32_t> running_here;
    std::function<void()> changed = [] {};
};

} // namespace tanager
