#include "sequoiausher/coordination/gateway/promptparts.h"

#include <algorithm>

namespace Sequoiausher {

namespace {

/**
 * How many targets are remembered for a part that is not the last shared part. Such a part is in wide use and most
 * targets have it. The directory only needs a sound target to copy it from, and each additional one would be announced
 * to every gateway.
 */
constexpr std::size_t maxCopySources = 3;

bool contains(const std::vector<TargetId> &targets, const TargetId &target)
{
    return std::find(targets.begin(), targets.end(), target) != targets.end();
}

} // namespace

PromptParts::PromptParts(const std::vector<std::uint64_t> &all) : shared(all)
{
    if (this->shared.size() > 1) {
        this->shared.pop_back();
    }
}

bool PromptParts::empty() const
{
    return this->shared.empty();
}

std::uint64_t PromptParts::lastShared() const
{
    return this->shared.empty() ? 0 : this->shared.back();
}

std::uint64_t PromptParts::first() const
{
    return this->shared.empty() ? 0 : this->shared.front();
}

std::vector<TargetId> PromptParts::holders(const PrefixDirectory &directory, Millis now) const
{
    return this->shared.empty() ? std::vector<TargetId>() : directory.holders(this->shared.back(), now);
}

std::optional<GatewayTarget> PromptParts::findCopySource(const PrefixDirectory &directory,
                                                         TargetBoard &board,
                                                         const TargetId &to,
                                                         const AllowedRegions &allowedRegions,
                                                         Millis now) const
{
    for (auto part = this->shared.rbegin(); part != this->shared.rend(); ++part) {
        const std::vector<TargetId> currentHolders = directory.holders(*part, now);
        if (contains(currentHolders, to)) {
            return std::nullopt;
        }
        std::optional<GatewayTarget> source = board.findCopySource(currentHolders, allowedRegions, now);
        if (source) {
            return source;
        }
    }
    return std::nullopt;
}

void PromptParts::recordSent(PrefixDirectory &directory, const TargetId &to, Millis now) const
{
    for (const std::uint64_t part : this->shared) {
        const std::vector<TargetId> currentHolders = directory.holders(part, now);
        if (part == this->shared.back() || currentHolders.size() < maxCopySources || contains(currentHolders, to)) {
            directory.recordSent(part, to, now);
        }
    }
}

} // namespace Sequoiausher
