#pragma once

// Which targets have recently read which shared part of a prompt, as far as this gateway and its peers sent it there.
// Requests with a part stay where it was read. Without this, a new target, which comes first in rendezvous order for
// its share of the parts, would read all of these again, and so would each target that takes requests from a full one.
//
//     PrefixDirectory directory;
//     directory.recordSent(part, target, now);                                   // by this gateway
//     directory.recordPeerPlacement(peer, part, target, now, UpdateScope::Own);  // by a peer
//     for (const TargetId &target : directory.holders(part, now)) { ... }
//     report.placements = directory.takeUpdates(peer, UpdateScope::All);

#include "sequoiausher/base/identifiers.h"
#include "sequoiausher/base/millis.h"
#include "sequoiausher/coordination/messages/gatewaymessages.h"

#include <cstddef>
#include <memory>
#include <vector>

namespace Sequoiausher {

/** How widely an update is passed on. A peer that takes updates of a scope also gets those of the scopes before it. */
enum class UpdateScope {
    /**
     * Updates of this gateway itself. A peer's update of this scope is not passed on, since its sender has sent it to
     * all gateways.
     */
    Own,
    /** Updates that a hub got from its own gateways; it passes them on to the other hubs too. */
    Group,
    /** Updates that a hub got from other hubs; it passes them on only to its own gateways. */
    All,
};

/** Bounds of the directory. */
struct PrefixDirectorySettings
{
    /** A target has most likely evicted a part that was not requested there for this long. */
    Millis ttl{60000};
    /**
     * The number of parts that are remembered, about 150 bytes each; beyond it the least recently used part is removed.
     */
    std::size_t maxParts = 20000;
    /** The number of targets that are remembered for each part; a hot part spreads over this many. */
    std::size_t maxHolders = 16;
};

/** The placements of parts. Not thread-safe. */
class PrefixDirectory
{
public:
    explicit PrefixDirectory(const PrefixDirectorySettings &settings = {});
    ~PrefixDirectory();

    /** Records that this gateway sends a request with the part to the target. */
    void recordSent(std::uint64_t part, const TargetId &target, Millis now);
    /**
     * Records that a peer sent a request with the part to the target. @param scope how widely this placement is passed
     * on.
     */
    void recordPeerPlacement(const InstanceId &peer,
                             std::uint64_t part,
                             const TargetId &target,
                             Millis now,
                             UpdateScope scope);
    /** Records that the part could not be read at the target. */
    void removeHolder(std::uint64_t part, const TargetId &target);

    /** The targets that hold the part, the earliest holder first, so that all gateways prefer the same one. */
    std::vector<TargetId> holders(std::uint64_t part, Millis now) const;

    /**
     * Returns the placements that the peer has not been sent yet: new ones, and those last announced long ago, without
     * the peer's own.
     * @param scope which updates of other gateways the peer gets. A peer that asks for the first time gets all that are
     * still kept.
     */
    std::vector<GatewayPlacement> takeUpdates(const InstanceId &peer, UpdateScope scope);
    std::size_t size() const;

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace Sequoiausher
