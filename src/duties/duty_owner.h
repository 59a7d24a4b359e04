// Holds one duty through an object in the store.
#pragma once

#include "duties/duty_lease.h"
#include "store/object_store.h"

#include <functional>
#include <memory>
#include <string>

namespace tanager {

// Performs the calls to the store that duty_lease decides on. Beside the holder, the object carries a text of
// the duty, for a successor to go on with; each update replaces it, and confirms the holder at the same time.
class duty_owner : public std::enable_shared_from_this<duty_owner> {
public:
    // `instance` is drawn at random by each process. `acquired` is called with the text in the object, which
    // is empty if there was none. The references must outlive the owner.
    duty_owner(const clock& time,
               object_store& store,
               std::string subject,
               std::uint64_t instance,
               const duty_settings& settings,
               std::function<void(const std::string&)> acquired);

    duty_lease& lease();
    const duty_lease& lease() const;

    // To be called several times a second; acquires the duty if this gateway should hold it.
    void check(const std::vector<std::string>& live_peers);

    // Returns whether this gateway holds the duty, and has no call to the store under way.
    bool is_ready() const;

    // Writes the text, if this gateway still holds the duty; the callback tells whether it does.
    void update(const std::string& text, std::function<void(bool is_confirmed)> callback);

    // Gives the duty up, and does not take it again.
    void resign();

private:
    std::string encode(const std::string& text) const;
    void acquire(const result<stored_object>& found);
    void write_holder(std::uint64_t expected, const std::string& text, bool was_held_here);
    void lose(const std::string& cause);

    const clock& time;
    object_store& store;
    std::string subject;
    std::uint64_t instance;
    duty_settings settings;
    std::function<void(const std::string&)> on_acquired;
    duty_lease own_lease;
    bool is_call_in_flight = false;
    bool has_resigned = false;
    // Whether the lease counts from this process's last write as a new holder.
    bool is_lease_known = false;
};

} // namespace tanager
