#include "organisations/organisation_directory.h"

#include "base/digest.h"

#include <set>
#include <utility>

namespace tanager {

std::string digest_of_key(std::string_view key)
{
    return sha256_hex(key);
}

std::shared_ptr<const organisation_directory> organisation_directory::create(organisation_list list)
{
    return std::shared_ptr<const organisation_directory>(new organisation_directory(std::move(list)));
}

organisation_directory::organisation_directory(organisation_list list) : list(std::move(list))
{
    std::set<std::string> names;
    std::vector<organisation> kept;
    for (auto& entry : this->list.organisations) {
        if (!names.insert(entry.name).second) {
            this->list.problems.push_back("a second entry with the name " + entry.name);
            continue;
        }
        for (const auto& digest : entry.key_digests) {
            const auto [found, is_new] = this->positions_by_digest.emplace(digest, kept.size());
            if (!is_new && found->second != kept.size()) {
                this->list.problems.push_back("a key of " + kept[found->second].name +
                                              " is also listed for " + entry.name);
            }
        }
        kept.push_back(std::move(entry));
    }
    this->list.organisations = std::move(kept);
}

const organisation* organisation_directory::find_by_key(std::string_view key) const
{
    const auto found = this->positions_by_digest.find(digest_of_key(key));
    return found == this->positions_by_digest.end() ? nullptr : &this->list.organisations[found->second];
}

const std::vector<organisation>& organisation_directory::organisations() const
{
    return this->list.organisations;
}

bool organisation_directory::is_complete() const
{
    return this->list.problems.empty();
}

const std::vector<std::string>& organisation_directory::problems() const
{
    return this->list.problems;
}

} // namespace tanager
