#include "protocol/catalogue_codec.h"

#include <tanager.pb.h>

namespace tanager {

catalogue_delta from_message(const protocol::catalogue_delta& message)
{
    catalogue_delta delta{message.since(), message.revision(), message.whole(), {}};
    for (const auto& object : message.objects()) {
        delta.objects.push_back({object.name(), object.revision(), object.deleted(), object.json()});
    }
    return delta;
}

void fill_message(const catalogue_delta& delta, protocol::catalogue_delta& message)
{
    message.set_since(delta.since);
    message.set_revision(delta.revision);
    message.set_whole(delta.is_snapshot);
    for (const auto& object : delta.objects) {
        auto* const row = message.add_objects();
        row->set_name(object.name);
        row->set_revision(object.revision);
        row->set_deleted(object.deleted);
        row->set_json(object.json);
    }
}

} // namespace tanager
