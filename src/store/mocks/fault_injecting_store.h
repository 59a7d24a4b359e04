#pragma once

#include "store/object_store.h"
#include "store/types/fencing_token.h"

#include <cstdint>
#include <deque>
#include <map>
#include <random>
#include <utility>

namespace tanager {

// Probability of each fault, in percent of calls.
struct store_fault_rates {
    unsigned rejected_percent = 0;      // the call fails without effect
    unsigned lost_response_percent = 0; // the write takes effect, but the call fails
    unsigned delayed_write_percent = 0; // the call fails; the write takes effect before or after the failure
};

// Fake store that holds its responses until a test delivers them, in random order, and injects faults. Order
// and faults follow from the seed.
class fault_injecting_store final : public object_store {
public:
    explicit fault_injecting_store(std::uint64_t seed) : random(seed) {}

    void list(const std::string& /*prefix*/, listing_callback callback) override
    {
        callback(fail(result_code::store_unavailable, "not part of this fake"));
    }

    void watch(const std::string& /*prefix*/,
               std::uint64_t /*since*/,
               std::chrono::milliseconds /*max_wait*/,
               listing_callback callback) override
    {
        callback(fail(result_code::store_unavailable, "not part of this fake"));
    }

    void get(const std::string& name, object_callback callback) override
    {
        if (this->strikes(this->fault_rates.rejected_percent)) {
            this->count_and_answer(this->rejected_calls,
                                   [callback] { callback(fail(result_code::store_unavailable, "")); });
            return;
        }
        const auto found = this->objects.find(name);
        const result<stored_object> object = found == this->objects.end()
                                                 ? fail(result_code::object_unknown, name)
                                                 : result<stored_object>{found->second};
        this->answers.emplace_back([callback, object] { callback(object); });
    }

    void put(const std::string& name,
             const std::string& value,
             std::uint64_t expected,
             version_callback callback) override
    {
        const auto fail_later = [callback] {
            callback(fail(result_code::store_unavailable, ""));
        };
        if (this->strikes(this->fault_rates.rejected_percent)) {
            this->count_and_answer(this->rejected_calls, fail_later);
        } else if (this->strikes(this->fault_rates.delayed_write_percent)) {
            this->answers.emplace_back([this, name, value, expected] { this->write(name, value, expected); });
            this->count_and_answer(this->delayed_writes, fail_later);
        } else if (this->strikes(this->fault_rates.lost_response_percent)) {
            this->write(name, value, expected);
            this->count_and_answer(this->lost_responses, fail_later);
        } else {
            const auto version = this->write(name, value, expected);
            this->answers.emplace_back([callback, version] { callback(version); });
        }
    }

    void remove(const std::string& /*name*/, std::uint64_t /*expected*/, version_callback callback) override
    {
        callback(fail(result_code::store_unavailable, "not part of this fake"));
    }

    std::uint64_t known_era() const override
    {
        return era_of(this->revision);
    }

    // Comes back from a copy with these objects, as of `copied`, in the next era: the revisions since are
    // given out again.
    void restore(std::map<std::string, stored_object> copy, std::uint64_t copied)
    {
        const auto era = era_of(this->revision) + 1;
        this->revision = fencing_token(era, revision_of(copied));
        for (auto& [name, object] : copy) {
            object.version = fencing_token(era, revision_of(object.version));
        }
        this->objects = std::move(copy);
    }

    // Delivers one pending response, chosen at random; returns false if none is pending.
    bool deliver_random_response()
    {
        if (this->answers.empty()) {
            return false;
        }
        const auto index = static_cast<std::ptrdiff_t>(this->random() % this->answers.size());
        const auto answer = this->answers.at(static_cast<std::size_t>(index));
        this->answers.erase(this->answers.begin() + index);
        answer();
        return true;
    }

    std::uint64_t last_revision() const
    {
        return this->revision;
    }

    store_fault_rates fault_rates;
    std::map<std::string, stored_object> objects;
    std::uint64_t rejected_calls = 0;
    std::uint64_t lost_responses = 0;
    std::uint64_t delayed_writes = 0;
    std::uint64_t conflicts = 0;

private:
    bool strikes(unsigned part)
    {
        constexpr unsigned whole = 100;
        return this->random() % whole < part;
    }

    void count_and_answer(std::uint64_t& counter, std::function<void()> answer)
    {
        ++counter;
        this->answers.push_back(std::move(answer));
    }

    result<std::uint64_t> write(const std::string& name, const std::string& value, std::uint64_t expected)
    {
        auto& object = this->objects[name];
        if (object.version != expected) {
            ++this->conflicts;
            return fail(result_code::version_conflict, name);
        }
        object = {name, ++this->revision, false, value};
        return object.version;
    }

    std::mt19937_64 random;
    std::uint64_t revision = 0;
    std::deque<std::function<void()>> answers;
};

} // namespace tanager
