#pragma once

// Which targets have lately read which shared part of a prompt, as far as this gateway and its peers sent it there. A
// part's requests stay where it was read: without this a new target, which by rendezvous order comes first for its
// share of the parts, would read all of them again, and so would every target that a full one sends requests on to.
//
//     PrefixDirectory directory;
//     directory.sent(part, target, now);                 // by this gateway
//     directory.heard(part, target, now);                // by a peer
//     for (const TargetId &target : directory.holders(part, now)) { ... }
//     report.placements = directory.newsFor(peer, UpdateScope::All);

#include "sequoiausher/base/identifiers.h"
#include "sequoiausher/base/millis.h"
#include "sequoiausher/coordination/messages/gatewaymessages.h"

#include <cstddef>
#include <memory>
#include <vector>

namespace Sequoiausher {

/** To whom news that was heard goes on. */
enum class UpdateScope {
    /** To nobody: whoever told it told everybody. */
    Own,
    /** A hub tells the other hubs what its own gateways told it. */
    Group,
    /** A hub tells its gateways everything. */
    All,
};

/** Bounds of the directory. */
struct PrefixDirectorySettings
{
    /** A target has most likely dropped a part that nobody asked it for in so long. */
    Millis ttl{60000};
    /** Parts that are remembered, some 150 bytes each; beyond them the one asked for longest ago goes. */
    std::size_t maxParts = 20000;
    /** Targets that are remembered for each part: over so many a part in heavy use spreads. */
    std::size_t maxHolders = 16;
};

/** The directory. Not thread-safe. */
class PrefixDirectory
{
public:
    explicit PrefixDirectory(const PrefixDirectorySettings &settings = {});
    ~PrefixDirectory();

    /** This gateway sends a request with the part to the target. */
    void recordSent(std::uint64_t part, const TargetId &target, Millis now);
    /** A peer did. @param isPassedOn by hubs: others are told of it too. */
    void recordPeerPlacement(const InstanceId &peer,
                             std::uint64_t part,
                             const TargetId &target,
                             Millis now,
                             UpdateScope scope);
    /** The part could not be read there. */
    void removeHolder(std::uint64_t part, const TargetId &target);

    /** The targets that have it, the first to have it first, so that all gateways prefer the same one. */
    std::vector<TargetId> holders(std::uint64_t part, Millis now) const;

    /**
     * What peer should hear since it was last told: placements that are new, or were last told long ago, none of its
     * own.
     * @param scope what of others' news the peer gets; a peer that asks for the first time is told what is still held.
     */
    std::vector<GatewayPlacement> takeUpdates(const InstanceId &peer, UpdateScope scope);
    std::size_t size() const;

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace Sequoiausher
