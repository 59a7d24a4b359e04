#include "claims/claim_registry.h"

#include "base/digest.h"
#include "claims/internal/claim_shard.h"

namespace tanager {

namespace {

// Must not change while a site exists: another count would map the same keys to other objects.
constexpr std::uint64_t shard_count = 16;
constexpr const char* shard_prefix = "claims/";

} // namespace

claim_registry::claim_registry(const claim_context& context) : context(context) {}

claim_registry::~claim_registry() = default;

claim_shard& claim_registry::shard_of(const std::string& key_digest)
{
    const std::string name = shard_prefix + std::to_string(hash64(key_digest) % shard_count);
    auto& shard = this->shards[name];
    if (shard == nullptr) {
        shard = std::make_shared<claim_shard>(this->context, name);
    }
    return *shard;
}

void claim_registry::claim(const claim_request& request, claim_callback callback)
{
    this->shard_of(request.key_digest).claim(request, std::move(callback));
}

void claim_registry::record_outcome(const claim_request& request,
                                    claim_state state,
                                    const std::optional<claim_answer>& answer)
{
    this->shard_of(request.key_digest).record(request, state, answer);
}

void claim_registry::release(const claim_request& request)
{
    this->shard_of(request.key_digest).release(request);
}

std::size_t claim_registry::pending_writes() const
{
    std::size_t total = 0;
    for (const auto& [name, shard] : this->shards) {
        total += shard->pending_writes();
    }
    return total;
}

} // namespace tanager
