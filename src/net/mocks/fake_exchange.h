#pragma once

#include "net/http_exchange.h"

#include <optional>
#include <string>

namespace tanager {

// An exchange that records the response written to it.
class fake_exchange final : public http_exchange {
public:
    explicit fake_exchange(http_request request) : received(std::move(request)) {}

    const http_request& request() const override
    {
        return this->received;
    }

    void start(int status, const http_headers& headers) override
    {
        this->sent_response = {status, headers, {}};
    }

    void write(std::string_view data) override
    {
        this->sent_response.body += data;
    }

    void finish() override
    {
        this->is_finished = true;
    }

    void abort() override
    {
        this->is_aborted = true;
    }

    void send_response(const http_response& whole) override
    {
        this->sent_response = whole;
        this->is_finished = true;
    }

    std::size_t unsent_bytes() const override
    {
        return this->unsent;
    }

    void on_drained(notice callback) override
    {
        this->drained = std::move(callback);
    }

    bool has_caller_left() const override
    {
        return this->caller_left;
    }

    void on_caller_left(notice callback) override
    {
        this->caller_left_callback = std::move(callback);
    }

    http_response sent_response;
    bool is_finished = false;
    bool is_aborted = false;
    bool caller_left = false;
    std::size_t unsent = 0;
    notice drained;
    notice caller_left_callback;

private:
    http_request received;
};

} // namespace tanager
