// A server that says in its answers that it leaves is still given requests, until it exits under them.
#include "../support-2/harness.h"

namespace {

using namespace review;

constexpr ms drain_time{2'000};
constexpr ms store_outage{4'500};
constexpr ms work{150};

struct sent_request {
    long long sent_at = 0;
    long long answered_at = 0;
    int status = 0;
    bool has_notice = false; // the answer says that its server leaves
};

// Sends orders from a few callers at a time.
class callers {
public:
    callers(recorder& record, std::string gateway) : record(record), gateway(std::move(gateway))
    {
        for (int index = 0; index < 6; ++index) {
            this->threads.emplace_back([this, index] { this->run(index); });
        }
    }

    void stop()
    {
        this->is_stopped = true;
        for (auto& thread : this->threads) {
            thread.join();
        }
        this->threads.clear();
    }

    std::map<std::string, sent_request> sent()
    {
        const std::lock_guard lock(this->mutex);
        return this->requests;
    }

private:
    void run(int index)
    {
        sleep_for(index * ms(40));
        for (int number = 0; !this->is_stopped; ++number) {
            const auto attempt = std::to_string(index) + "-" + std::to_string(number);
            sent_request one;
            one.sent_at = this->record.elapsed();
            const auto answered = call(this->gateway, request("POST", "/order/1", attempt), ms(2'000));
            one.answered_at = this->record.elapsed();
            one.status = answered.status;
            one.has_notice = answered.received.header("Server-Leaving") == "1";
            this->record.write("caller: " + attempt + " sent at " + std::to_string(one.sent_at) + " -> " +
                               std::to_string(one.status) + (one.has_notice ? " Server-Leaving" : ""));
            {
                const std::lock_guard lock(this->mutex);
                this->requests[attempt] = one;
            }
            sleep_for(ms(100));
        }
    }

    recorder& record;
    std::string gateway;
    std::atomic<bool> is_stopped = false;
    std::mutex mutex;
    std::map<std::string, sent_request> requests;
    std::vector<std::thread> threads;
};

int run_case(recorder& record, const temporary_folder& folder)
{
    object_store store(record);
    backend_server leaving(record, "i-leaving", "desk", work);
    backend_server staying(record, "i-staying", "desk", work);
    backend_server third(record, "i-third", "desk", work);
    store.write("config",
                "main",
                configuration(1,
                              json::array({route("order", "non_idempotent", "desk")}),
                              json::array({{{"name", "desk"}, {"healthPath", "/healthz"}}})));
    store.write("servers", "i-leaving", leaving.entry());
    store.write("servers", "i-staying", staying.entry());
    store.write("servers", "i-third", third.entry());
    gateway front(record, "front-1", small_deployment(store.address()), folder.path);
    front.start();
    if (!front.wait_until_ready(ms(10'000))) {
        return could_not_run;
    }
    sleep_for(ms(1'000));
    callers venues(record, front.address());
    sleep_for(ms(1'500));
    const bool is_down = has_trouble();
    if (is_down) {
        store.set_down(true);
        record.write("store: down");
    }
    const auto outage_began = steady::now();
    sleep_for(ms(200));
    leaving.set_leaving();
    record.write("i-leaving: leaves, and says so in its answers");
    if (is_down) {
        // A server that never reports draining: its entry is removed, also while the store is down.
        store.remove("servers", "i-leaving");
        record.write("store: the entry of i-leaving is removed");
    }
    if (!is_down) {
        store.write("servers", "i-leaving", leaving.entry("draining"));
        record.write("i-leaving: draining, acknowledged by the store");
    }
    // The server goes on for the drain time and somewhat longer, and exits.
    sleep_for(drain_time + ms(2'000));
    leaving.stop();
    record.write("i-leaving: exited");
    if (!is_down) {
        store.remove("servers", "i-leaving");
    }
    std::this_thread::sleep_until(outage_began + store_outage);
    if (is_down) {
        store.set_down(false);
        record.write("store: back");
    }
    sleep_for(ms(1'500));
    venues.stop();
    const auto requests = venues.sent();
    std::optional<long long> noticed_at;
    int lost = 0;
    for (const auto& [attempt, one] : requests) {
        if (one.has_notice) {
            noticed_at = std::min(noticed_at.value_or(one.answered_at), one.answered_at);
        }
        lost += one.status == 502 || one.status == 504 || one.status == 0 ? 1 : 0;
    }
    if (!noticed_at) {
        record.write("no answer of the leaving server was passed on");
        return is_down ? could_not_run : rule_held;
    }
    int late = 0;
    for (const auto& [at, ran] : leaving.runs()) {
        const auto found = requests.find(ran.header("Attempt-Id"));
        if (found != requests.end() && found->second.sent_at > *noticed_at + drain_time.count()) {
            ++late;
        }
    }
    record.write("result: first notice passed on at " + std::to_string(*noticed_at) + "; " +
                 std::to_string(late) + " requests sent over 2 s later reached the server; " +
                 std::to_string(lost) + " requests ended without a success or a promise");
    return late > 0 ? rule_broken : rule_held;
}

} // namespace

int main(int argc, char** argv)
{
    return review::run_scenario(argc, argv, run_case);
}
