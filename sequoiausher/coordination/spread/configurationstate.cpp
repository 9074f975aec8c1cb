#include "sequoiausher/coordination/spread/configurationstate.h"

namespace Sequoiausher {

class ConfigurationState::Private
{
public:
    const DocumentChecker &checker;
    std::shared_ptr<const Configuration> current;
    std::optional<Error> refused;
    std::uint64_t refusedDigest = 0;
};

ConfigurationState::ConfigurationState(const DocumentChecker &checker)
    : d(new Private{checker, nullptr, std::nullopt, 0})
{
}
ConfigurationState::~ConfigurationState() = default;

OfferResult ConfigurationState::offer(const DocumentTable &table)
{
    const std::uint64_t digest = table.digest();
    if (this->d->refused && this->d->refusedDigest == digest) {
        return OfferResult::Unchanged;
    }
    if (this->d->current) {
        if (this->d->current->digest == digest) {
            return OfferResult::Unchanged;
        }
        // The table never goes back, so this fires only where a caller offers another table than before, as after a
        // rebuilt one. It would show as an old rule in force; the operator sees the result counted.
        for (const DocumentVersion &version : this->d->current->versions) {
            if (table.revisionOf(version.name) < version.revision) {
                return OfferResult::Reverts;
            }
        }
    }
    auto documents = table.snapshot();
    this->d->refused = this->d->checker.check(*documents);
    if (this->d->refused) {
        this->d->refusedDigest = digest;
        return OfferResult::Refused;
    }
    this->d->current = std::make_shared<const Configuration>(
        Configuration{digest, table.highestRevision(), table.versions(), std::move(documents)});
    return OfferResult::InForce;
}

std::shared_ptr<const Configuration> ConfigurationState::inForce() const
{
    return this->d->current;
}

const std::optional<Error> &ConfigurationState::refusal() const
{
    return this->d->refused;
}

} // namespace Sequoiausher
