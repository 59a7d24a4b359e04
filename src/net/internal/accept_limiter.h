#pragma once

#include "net/event_loop.h"

struct evconnlistener;

namespace tanager {

// Pauses a listener while the process holds as many descriptors as it may.
//
// evhttp has no bound on connections of its own. The kernel hands out the lowest free descriptor, so a probe
// above the bound means that at least that many are open.
class descriptor_gate {
public:
    descriptor_gate(event_loop& loop, evconnlistener* listener, int highest_descriptor);

    // Called for each accepted connection.
    void check();

private:
    bool is_exhausted() const;
    void pause();
    void try_resume();

    event_loop& loop;
    evconnlistener* listener;
    int highest_descriptor;
    std::unique_ptr<loop_timer> retry;
};

} // namespace tanager
