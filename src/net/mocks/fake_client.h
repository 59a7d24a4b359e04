#pragma once

#include "net/http_client.h"

#include <memory>
#include <vector>

namespace tanager {

// An HTTP client that records its calls; the test completes them with `respond` or `fail`.
class fake_client final : public http_client {
public:
    class fake_call final : public http_call {
    public:
        void cancel() override
        {
            this->is_cancelled = true;
            this->handler.reset();
        }

        bool is_sent() const override
        {
            return this->sent;
        }

        call_connection connection_used() const override
        {
            return this->connection;
        }

        void pause() override {}
        void resume() override {}

        // Delivers a complete response, or skips it if it is another call's.
        void respond(int status, const http_headers& headers, const std::string& body)
        {
            const auto receiver = this->handler;
            this->owner = receiver->owner_of(status, headers);
            if (this->owner == response_owner::another_call) {
                return;
            }
            receiver->on_head(status, headers);
            if (this->handler != nullptr && !body.empty()) {
                receiver->on_data(body);
            }
            if (this->handler != nullptr) {
                receiver->on_end();
            }
        }

        void fail(call_progress progress) const
        {
            const auto receiver = this->handler;
            const auto code = progress == call_progress::not_sent ? result_code::connect_failed
                                                                  : result_code::connection_lost;
            receiver->on_failure({{code, "test"}, progress});
        }

        socket_address peer;
        http_request request;
        http_call_options options;
        std::shared_ptr<http_response_handler> handler;
        call_connection connection;
        response_owner owner = response_owner::this_call; // of the last response
        bool sent = true;
        bool is_cancelled = false;
    };

    std::shared_ptr<http_call> start(const socket_address& peer,
                                     const http_request& request,
                                     const http_call_options& options,
                                     std::shared_ptr<http_response_handler> handler) override
    {
        auto call = std::make_shared<fake_call>();
        call->peer = peer;
        call->request = request;
        call->options = options;
        call->handler = std::move(handler);
        this->calls.push_back(call);
        return call;
    }

    std::vector<std::shared_ptr<fake_call>> calls;
};

} // namespace tanager
