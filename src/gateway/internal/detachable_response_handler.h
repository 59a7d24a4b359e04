#pragma once

#include "net/http_client.h"

#include <memory>

namespace tanager {

// Receives the response to one attempt.
class response_listener {
public:
    response_listener() = default;
    response_listener(const response_listener&) = delete;
    response_listener& operator=(const response_listener&) = delete;
    response_listener(response_listener&&) = delete;
    response_listener& operator=(response_listener&&) = delete;
    virtual ~response_listener() = default;

    virtual response_owner find_owner(int status, const http_headers& headers) = 0;
    virtual void on_response_head(int status, const http_headers& headers) = 0;
    virtual void on_response_data(std::string_view data) = 0;
    virtual void on_response_end() = 0;
    virtual void on_attempt_failure(const http_failure& failure) = 0;
};

// Forwards the events of one attempt to its listener until it is detached or the listener is destroyed.
class detachable_response_handler final : public http_response_handler {
public:
    explicit detachable_response_handler(std::weak_ptr<response_listener> listener)
        : listener(std::move(listener))
    {
    }

    void detach()
    {
        this->listener.reset();
    }

    response_owner owner_of(int status, const http_headers& headers) override
    {
        const auto alive = this->listener.lock();
        return alive == nullptr ? response_owner::unnamed : alive->find_owner(status, headers);
    }

    void on_head(int status, const http_headers& headers) override
    {
        if (const auto alive = this->listener.lock()) {
            alive->on_response_head(status, headers);
        }
    }

    void on_data(std::string_view data) override
    {
        if (const auto alive = this->listener.lock()) {
            alive->on_response_data(data);
        }
    }

    void on_end() override
    {
        if (const auto alive = this->listener.lock()) {
            alive->on_response_end();
        }
    }

    void on_failure(const http_failure& failure) override
    {
        if (const auto alive = this->listener.lock()) {
            alive->on_attempt_failure(failure);
        }
    }

private:
    std::weak_ptr<response_listener> listener;
};

} // namespace tanager
