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

PromptParts::PromptParts(const std::vector<std::uint64_t> &all, const std::vector<std::uint32_t> &tokens)
    : shared(all)
    , sharedTokens(tokens)
{
    this->sharedTokens.resize(this->shared.size());
    if (this->shared.size() > 1) {
        this->ownTokens = this->sharedTokens.back();
        this->shared.pop_back();
        this->sharedTokens.pop_back();
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

std::vector<AdmissionPart> PromptParts::sharedParts() const
{
    std::vector<AdmissionPart> parts;
    for (std::size_t i = 0; i < this->shared.size(); ++i) {
        parts.push_back({this->shared[i], this->sharedTokens[i]});
    }
    return parts;
}

std::uint32_t PromptParts::ownTokenCount() const
{
    return this->ownTokens;
}

std::vector<TargetId> PromptParts::holders(const PrefixDirectory &directory, Millis now) const
{
    return this->shared.empty() ? std::vector<TargetId>() : directory.holders(this->shared.back(), now);
}

std::optional<CopySource> PromptParts::findCopySource(const PrefixDirectory &directory,
                                                      TargetBoard &board,
                                                      const TargetId &to,
                                                      const AllowedRegions &allowedRegions,
                                                      Millis now) const
{
    for (std::size_t count = this->shared.size(); count > 0; --count) {
        const std::vector<TargetId> currentHolders = directory.holders(this->shared[count - 1], now);
        if (contains(currentHolders, to)) {
            return std::nullopt;
        }
        if (const std::optional<GatewayTarget> source = board.findCopySource(currentHolders, allowedRegions, now)) {
            return CopySource{*source, count};
        }
    }
    return std::nullopt;
}

std::uint64_t
PromptParts::tokensToRead(const PrefixDirectory &directory, const TargetId &to, std::size_t copied, Millis now) const
{
    std::uint64_t tokens = this->ownTokens;
    for (std::size_t count = this->shared.size(); count > copied; --count) {
        const std::vector<TargetId> currentHolders = directory.holders(this->shared[count - 1], now);
        const bool isInWideUse = count < this->shared.size() && currentHolders.size() >= maxCopySources;
        if (isInWideUse || contains(currentHolders, to)) {
            break;
        }
        tokens += this->sharedTokens[count - 1];
    }
    return tokens;
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
