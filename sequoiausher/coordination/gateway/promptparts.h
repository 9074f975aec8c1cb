#pragma once

// Where the parts of a prompt are cached: which targets to prefer for the prompt, what to record once it was sent, and
// from which target another one that lacks a part should copy it.
//
//     const PromptParts parts({hash64("system"), hash64("manual"), hash64("own question")});
//     criteria.holders = parts.holders(directory, now);
//     const auto source = parts.findCopySource(directory, board, target, now);
//     if (source) { order.copyFrom = source->target.address; }
//     parts.recordSent(directory, target, now);

#include "sequoiausher/coordination/gateway/prefixdirectory.h"
#include "sequoiausher/coordination/gateway/targetboard.h"
#include "sequoiausher/coordination/messages/gatewayadmissionmessages.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace Sequoiausher {

/** A target to copy cached parts from. */
struct CopySource
{
    GatewayTarget target;
    /** How many parts from the beginning of the prompt it holds; 0 if the admission owner named it. */
    std::size_t parts = 0;
};

/** The parts of one prompt that other prompts share. */
class PromptParts
{
public:
    PromptParts() = default;
    /**
     * @param all hashes of all parts in order. The last part is the request's own, unless it is the only one.
     * @param tokens the length of each part; may be empty where nobody asks for lengths
     */
    explicit PromptParts(const std::vector<std::uint64_t> &all, const std::vector<std::uint32_t> &tokens = {});

    bool empty() const;
    /** The last shared part: a target that has it cached most likely has those before it too. 0 where there is none. */
    std::uint64_t lastShared() const;
    /** The first part; 0 where there is none. */
    std::uint64_t first() const;

    /** The shared parts with their lengths, in order. */
    std::vector<AdmissionPart> sharedParts() const;
    /** The length of the request's own part. */
    std::uint32_t ownTokenCount() const;

    /** The targets that hold the last shared part. */
    std::vector<TargetId> holders(const PrefixDirectory &directory, Millis now) const;
    /**
     * Finds a sound target from which the target "to" should copy the longest beginning of the prompt that any sound
     * target holds (see TargetBoard::findCopySource). None if "to" holds that beginning or a longer one itself, or if
     * there is no such target. Copying a part of 1,000 tokens takes about a millisecond, whereas reading it takes 18.
     */
    std::optional<CopySource> findCopySource(const PrefixDirectory &directory,
                                             TargetBoard &board,
                                             const TargetId &to,
                                             const AllowedRegions &allowedRegions,
                                             Millis now) const;
    /**
     * Estimates how many tokens of the prompt the target has to read.
     * @param copied how many parts from the beginning of the prompt it copies from another target
     */
    std::uint64_t
    tokensToRead(const PrefixDirectory &directory, const TargetId &to, std::size_t copied, Millis now) const;
    /** Records that the prompt goes to the target, which will hold its shared parts. */
    void recordSent(PrefixDirectory &directory, const TargetId &to, Millis now) const;

private:
    std::vector<std::uint64_t> shared;
    /** The length of each shared part, and of the request's own. */
    std::vector<std::uint32_t> sharedTokens;
    std::uint32_t ownTokens = 0;
};

} // namespace Sequoiausher
