#pragma once

#include "net/event_loop.h"

struct evconnlistener;

namespace tanager {

// Pauses a listener while the process has too many open descriptors.
//
// evhttp does not limit the number of connections. The kernel assigns the lowest free descriptor, so a newly
// created descriptor above the limit means that at least that many are open.
class accept_limiter {
public:
    accept_limiter(event_loop& loop, evconnlistener* listener, int max_descriptor);

    // Must be called for each accepted connection.
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
