#include "smuggling.h"

#include <algorithm>
#include <thread>

namespace review {

namespace {

constexpr std::chrono::milliseconds work_time{10};
constexpr std::chrono::seconds read_time{1};
constexpr int status_ok = 200;

} // namespace

std::string make_head(const std::string& method,
                      const std::string& path,
                      const std::string& id,
                      const std::string& further)
{
    std::string head = method;
    head += " ";
    head += path;
    head += " HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: ";
    head += id;
    head += "\r\nDeadline-Ms: 2000\r\n";
    head += further;
    head += "\r\n";
    return head;
}

std::string make_order_text(const std::string& id)
{
    return make_head("POST", "/order/1", id, "Content-Length: 9\r\n") + "12 sheets";
}

backend_server& add_order_server(test_case& test, const std::string& id)
{
    return test.add_server(
        "desk", id, [](backend_server& server, connection& peer, const http_message& request) {
            server.begin_run(request);
            std::this_thread::sleep_for(work_time);
            return peer.send(make_response(status_ok, answer_headers(request), "done\n"));
        });
}

void exchange_bytes(case_record& record, const std::string& gateway, const std::string& bytes)
{
    const auto peer = connection::open(gateway);
    if (peer == nullptr) {
        record.write("caller", "no connection");
        return;
    }
    peer->set_receive_timeout(read_time);
    record.write("caller", "sends on a new connection:\n" + bytes);
    peer->send(bytes);
    bool is_complete = true;
    while (is_complete) {
        const auto response = peer->read_response(is_complete);
        if (!response) {
            return;
        }
        record.write("caller",
                     "gets status " + std::to_string(response->status()) + " for " +
                         response->header_or("Attempt-Id", "(no id)"));
    }
}

bool has_run(const test_case& test, const std::string& id)
{
    return std::ranges::any_of(test.servers, [&id](const auto& server) {
        const auto runs = server->runs();
        return std::ranges::find(runs, id) != runs.end();
    });
}

} // namespace review
