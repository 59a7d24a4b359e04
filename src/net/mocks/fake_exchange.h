#pragma once

#include "net/http_exchange.h"

#include <optional>
#include <string>

namespace tanager {

// An exchange that keeps what was written to it.
class fake_exchange final : public http_exchange {
public:
    explicit fake_exchange(http_request request) : received(std::move(request)) {}

    const http_request& request() const override
    {
        return this->received;
    }

    void start(int status, const http_headers& headers) override
    {
        this->sent = {status, headers, {}};
    }

    void write(std::string_view data) override
    {
        this->sent.body += data;
    }

    void finish() override
    {
        this->is_finished = true;
    }

    void abort() override
    {
        this->is_aborted = true;
    }

    void reply(const http_reply& whole) override
    {
        this->sent = whole;
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

    void on_caller_left(notice callback) override
    {
        this->left = std::move(callback);
    }

    http_reply sent;
    bool is_finished = false;
    bool is_aborted = false;
    std::size_t unsent = 0;
    notice drained;
    notice left;

private:
    http_request received;
};

} // namespace tanager
