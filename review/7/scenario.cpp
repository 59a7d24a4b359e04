// A window of usage is reported twice, with different counts: all gateways are killed while the store comes
// back from a copy.
#include "../support-2/harness.h"

namespace {

using namespace review;

// The platform's API for the usage reports. An exact repeat is ignored.
class usage_platform {
public:
    explicit usage_platform(recorder& record) : record(record)
    {
        this->server =
            std::make_unique<http_server>([this](const message& request) { return this->serve(request); });
    }

    std::string address() const
    {
        return this->server->address();
    }

    // Waits for the report of a further window; returns its number.
    std::optional<long long> wait_for_report(ms limit)
    {
        std::unique_lock lock(this->mutex);
        const auto known = this->accepted.size();
        const bool is_new =
            this->changed.wait_for(lock, limit, [&] { return this->accepted.size() > known; });
        return is_new ? std::optional{this->last_window} : std::nullopt;
    }

    // Returns the windows that were reported with different counts.
    std::set<long long> contradicted()
    {
        const std::lock_guard lock(this->mutex);
        return this->different;
    }

private:
    answer serve(const message& request)
    {
        const std::lock_guard lock(this->mutex);
        const auto body = json::parse(request.body, nullptr, false);
        if (request.target != "/usage" || !body.is_object()) {
            return {404, {{"Content-Type", "application/json"}}, "{}"};
        }
        const auto window = body["windowIndex"].get<long long>();
        const auto known = this->accepted.find(window);
        const bool is_repeat = known != this->accepted.end() && known->second == body["counts"];
        const bool is_different = known != this->accepted.end() && !is_repeat;
        this->record.write("platform: usage of window " + std::to_string(window) + " " +
                           body["counts"].dump() + " by " + request.header("Duty-Holder") + " with token " +
                           request.header("Fencing-Token") + (is_repeat ? " (repeat)" : "") +
                           (is_different ? " (DIFFERENT from before)" : ""));
        if (is_different) {
            this->different.insert(window);
        }
        this->accepted.try_emplace(window, body["counts"]);
        this->last_window = window;
        this->changed.notify_all();
        return {200, {{"Content-Type", "application/json"}}, "{}"};
    }

    recorder& record;
    std::mutex mutex;
    std::condition_variable changed;
    std::map<long long, json> accepted;
    std::set<long long> different;
    long long last_window = 0;
    std::unique_ptr<http_server> server;
};

// Sends requests of one organisation until it is stopped.
class caller {
public:
    caller(recorder& record, const std::vector<std::string>& gateways)
        : record(record), gateways(gateways), thread([this] { this->run(); })
    {
    }

    caller(const caller&) = delete;
    caller& operator=(const caller&) = delete;
    caller(caller&&) = delete;
    caller& operator=(caller&&) = delete;

    ~caller()
    {
        this->is_stopped = true;
        this->thread.join();
        this->record.write("caller: " + std::to_string(this->served) + " served, " +
                           std::to_string(this->failed) + " not");
    }

private:
    void run()
    {
        for (int number = 0; !this->is_stopped; ++number) {
            auto made = request("POST", "/order/1", "order-" + std::to_string(number));
            made.headers.emplace_back("Authorization", "Token key-1");
            const auto index = static_cast<std::size_t>(number) % this->gateways.size();
            const auto answered = call(this->gateways[index], made, ms(1'500));
            (answered.status == 200 ? this->served : this->failed) += 1;
            sleep_for(ms(40));
        }
    }

    recorder& record;
    std::vector<std::string> gateways;
    std::atomic<bool> is_stopped = false;
    int served = 0;
    int failed = 0;
    std::thread thread;
};

constexpr ms store_outage{1'000};
constexpr ms copy_age{4'000};
constexpr ms rewrite_delay{1'000};
constexpr ms restart_delay{500};
constexpr std::size_t reports_before = 3;

json make_configuration()
{
    auto made = configuration(1,
                              json::array({route("order", "non_idempotent", "desk")}),
                              json::array({{{"name", "desk"}, {"healthPath", "/healthz"}}}));
    made["tenants"] = json::array({{{"name", "venue"}, {"apiKeys", json::array({"key-1"})}}});
    return made;
}

int run_case(recorder& record, const temporary_folder& folder)
{
    object_store store(record);
    usage_platform platform(record);
    backend_server one(record, "i-one", "desk");
    backend_server two(record, "i-two", "desk");
    store.write("config", "main", make_configuration());
    store.write("servers", "i-one", one.entry());
    store.write("servers", "i-two", two.entry());
    auto fields = small_deployment(store.address());
    fields["bounds"]["failClosed"] = true;
    fields["bounds"]["revokeMs"] = 5'000;
    fields["bounds"]["reportWindowS"] = 5;
    fields["bounds"]["usageLateS"] = 10;
    fields["bounds"]["usageTolerance"] = 0.05;
    fields["cloud"] = {{"address", platform.address()}, {"duties", {"usage_report"}}, {"dutyPerS", 50.0}};
    gateway first(record, "front-1", fields, folder.path);
    gateway second(record, "front-2", fields, folder.path);
    first.start();
    second.start();
    if (!first.wait_until_ready(ms(10'000)) || !second.wait_until_ready(ms(10'000))) {
        return could_not_run;
    }
    const caller venue(record, {first.address(), second.address()});
    for (std::size_t count = 0; count < reports_before; ++count) {
        if (!platform.wait_for_report(ms(25'000))) {
            record.write("no report of usage");
            return could_not_run;
        }
    }
    sleep_for(ms(300));
    if (has_trouble()) {
        store.set_down(true);
        record.write("store: away");
        first.kill();
        second.kill();
        sleep_for(restart_delay);
        first.start();
        second.start();
        sleep_for(store_outage - restart_delay);
        store.restore(copy_age);
        store.set_down(false);
        record.write("store: back from a copy that is 4 s old");
        sleep_for(rewrite_delay);
        store.write("config", "main", make_configuration());
        store.write("servers", "i-one", one.entry());
        store.write("servers", "i-two", two.entry());
        record.write("operator and servers: written again");
    }
    // The next report comes after the discovery of the peers, the lease, and the end of a window.
    if (!platform.wait_for_report(ms(25'000))) {
        record.write("no further report of usage");
    }
    sleep_for(ms(3'000));
    const auto contradicted = platform.contradicted();
    record.write("result: " + std::to_string(contradicted.size()) +
                 " windows were reported with different counts");
    return contradicted.empty() ? rule_held : rule_broken;
}

} // namespace

int main(int argc, char** argv)
{
    return review::run_scenario(argc, argv, run_case);
}
