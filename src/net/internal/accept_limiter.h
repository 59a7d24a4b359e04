#pragma once

#include "net/event_loop.h"

struct evconnlistener;

namespace tanager {

// Pauses a listener while the process holds as many descriptors as it may.
//
// evhttp has no bound on connections of its own. The kernel hands out the lowest free descriptor, so a probe
// above the bound means that at least that many are open.
class accept_limiter {
public:
    accept_limiter(event_loop& loop, evconnlistener* listener, int max_descriptor);

    // Called for each accepted connection.
    void pause_if_exhausted();

private:
    bool is_exhausted() const;
    void pause();
    void try_resume();

    event_loop& loop;
    evconnlistener* listener;
    int max_descriptor;
    std::unique_ptr<loop_timer> resume_timer;
};

} // namespace tanager
