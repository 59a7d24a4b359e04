// Counts the requests of each organisation, and reports the counts of all gateways to the platform.
#pragma once

#include "base/random_source.h"
#include "duties/duty_owner.h"
#include "duties/true_time.h"
#include "duties/types/duty_types.h"
#include "duties/usage_codec.h"
#include "duties/usage_ledger.h"
#include "duties/usage_outbox.h"
#include "duties/usage_recorder.h"
#include "duties/usage_state_codec.h"
#include "metrics/metrics_registry.h"
#include "net/http_client.h"
#include "store/object_store.h"

#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace tanager {

struct usage_settings {
    duty_settings duty;
    socket_address address; // of the platform
    usage_windows windows;
    double max_calls_per_second = 1; // that the platform takes of all gateways

    friend bool operator==(const usage_settings&, const usage_settings&) = default;
};

// How the gateways reach each other.
class duty_channel {
public:
    duty_channel() = default;
    duty_channel(const duty_channel&) = delete;
    duty_channel& operator=(const duty_channel&) = delete;
    duty_channel(duty_channel&&) = delete;
    duty_channel& operator=(duty_channel&&) = delete;
    virtual ~duty_channel() = default;

    // The messages may be lost, repeated and reordered.
    virtual void send_to_all(const std::string& message) = 0;
    virtual void send_to(const std::string& gateway, const std::string& message) = 0;
    virtual std::vector<std::string> live_gateways() const = 0; // without this one
};

// Load pattern: the windows of the reports follow each other within seconds, and gateways, the holder first,
// are killed, frozen and cut off in turn; the platform or its store may be away for many windows. Each
// gateway sends its counts to the holder of the duty, and to a deputy, while their window is still open. Some
// time after the end of a window, the holder fixes the sums of all gateways in the object of the duty, with
// the update that confirms it as the holder, and then reports exactly these, in order. A successor finds the
// fixed windows that are not known to be sent, and reports them first; the platform ignores an exact repeat.
class usage_reporter final : public usage_recorder {
public:
    // `time` must go on while the host is suspended. The references must outlive the reporter.
    usage_reporter(const clock& time,
                   object_store& store,
                   http_client& client,
                   const usage_codec& codec,
                   duty_channel& channel,
                   metrics_registry& metrics,
                   random_source& random,
                   const usage_settings& settings);
    ~usage_reporter() override;
    usage_reporter(const usage_reporter&) = delete;
    usage_reporter& operator=(const usage_reporter&) = delete;
    usage_reporter(usage_reporter&&) = delete;
    usage_reporter& operator=(usage_reporter&&) = delete;

    void record_began(const std::string& organisation) override;

    // To be called ten times a second.
    void check();

    // Receives a message of another gateway. Fails with request_malformed.
    result<void> receive(std::string_view message);

    // Hands the duty and the counts over. Counts are taken and sent until the end of the process.
    void leave();

    // Sends the counts that no other gateway is known to have.
    void flush();

    void refresh_gauges() const;

private:
    struct reporter_state;

    std::shared_ptr<reporter_state> state; // shared with the calls under way
};

} // namespace tanager
