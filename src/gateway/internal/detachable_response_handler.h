#pragma once

#include "net/http_client.h"

#include <memory>

namespace tanager {

// Hears the answer to one attempt.
class attempt_listener {
public:
    attempt_listener() = default;
    attempt_listener(const attempt_listener&) = delete;
    attempt_listener& operator=(const attempt_listener&) = delete;
    attempt_listener(attempt_listener&&) = delete;
    attempt_listener& operator=(attempt_listener&&) = delete;
    virtual ~attempt_listener() = default;

    virtual void on_answer_head(int status, const http_headers& headers) = 0;
    virtual void on_answer_data(std::string_view data) = 0;
    virtual void on_answer_end() = 0;
    virtual void on_attempt_failure(const http_failure& failure) = 0;
};

// Passes the notices of one attempt on, until its listener has turned to another one or is gone.
class attempt_handler final : public http_reply_handler {
public:
    explicit attempt_handler(std::weak_ptr<attempt_listener> listener) : listener(std::move(listener)) {}

    void detach()
    {
        this->listener.reset();
    }

    void on_head(int status, const http_headers& headers) override
    {
        if (const auto alive = this->listener.lock()) {
            alive->on_answer_head(status, headers);
        }
    }

    void on_data(std::string_view data) override
    {
        if (const auto alive = this->listener.lock()) {
            alive->on_answer_data(data);
        }
    }

    void on_end() override
    {
        if (const auto alive = this->listener.lock()) {
            alive->on_answer_end();
        }
    }

    void on_failure(const http_failure& failure) override
    {
        if (const auto alive = this->listener.lock()) {
            alive->on_attempt_failure(failure);
        }
    }

private:
    std::weak_ptr<attempt_listener> listener;
};

} // namespace tanager
