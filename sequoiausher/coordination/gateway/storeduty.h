#pragma once

// Whether a gateway reads the platform's store itself, or rests on what its peers read there. Every call to the store
// is one that others do not get, and 300 gateways that all read it would make thousands of calls a second.
//
// In a fleet with hubs the first hub reads; the other hubs hear what it reads, and all others hear it from a hub. Each
// report says how old its sender's knowledge of the store is at the most, counted back from the report that it answers:
// so knowledge that goes around in a circle grows old, and whoever misses it reads for itself, the second hub soonest,
// then the other hubs, then everybody. Nobody is elected: two that both take themselves for the first both read.
//
// A word says how the store was; it tells how old this gateway's list of targets is only once that list has come as
// far.
//
//     StoreDuty duty(settings, seed);
//     duty.heard({report.storeAge, report.echo, isFromHub, isFirstHand, comesBefore, report.targets}, now);
//     duty.recordListRevision(list.revision());
//     watcher.setResting(duty.mayFollowPeers(role, now));

#include "sequoiausher/base/identifiers.h"
#include "sequoiausher/base/millis.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>

namespace Sequoiausher {

/** The bounds that reading must keep. */
struct StoreDutySettings
{
    /** So long after the store's word that a target leaves, no gateway may send it anything. */
    Millis leaveBound{2000};
    /** So long after a key was taken away it may open routes. */
    Millis keyFreshness{5000};
    /** How old the proof of the configuration may get where all read, before one of them reads it again. */
    Millis proofInterval{800};
};

/** What a peer's report says of the store. */
struct PeerStoreReport
{
    /** How old the sender's knowledge is; never() where it has none. */
    Millis age = Millis::never();
    /** When the receiver sent the report that the sender had before; 0 for none. */
    Millis echo;
    bool isFromHub = false;
    /** The sender reads the store itself. */
    bool readsStore = false;
    /** Among hubs the sender comes before the receiver. */
    bool comesBefore = false;
    /** The store's revision up to which the sender's list of targets is complete. */
    Revision revision = 0;
};

/** What this gateway is to the fleet, as it sees it. */
struct StoreRole
{
    /** There are others that it knows by name. */
    bool hasPeers = false;
    bool hasHubs = false;
    /** This gateway's place among the hubs, 0 first; absent where it is none. */
    std::optional<std::size_t> hubRank;
    std::size_t fleetSize = 1;
};

/** The longest pause between two calls that fail, where nobody else tries. */
inline constexpr Millis baseStorePause{800};

/** One gateway's part in reading the store. Not thread-safe. */
class StoreDuty
{
public:
    /** @param seed of the generator by which gateways that must try do so one after the other. */
    StoreDuty(const StoreDutySettings &settings, std::uint64_t seed);

    void setSettings(const StoreDutySettings &newSettings);
    /** The store told this gateway itself of all targets, as they were at that moment or later. */
    void recordStoreAnswer(Millis at);
    /**
     * The store said itself that it was at revision at that moment or later. Where the list has not come as far, that
     * proves nothing until it has.
     */
    void recordStoreRevision(Revision revision, Millis at);
    /** The list of targets is complete up to that revision of the store, whoever told it. */
    void recordListRevision(Revision revision);
    /** This gateway has asked for all of it, and was answered, for the first time. */
    void recordFirstFullRead(Millis at);
    void recordPeerReport(const PeerStoreReport &report, Millis now);

    /** Whether this gateway lists and watches nothing for now. */
    bool mayFollowPeers(const StoreRole &role, Millis now) const;
    /** Whether the store itself has lately told this gateway how the targets are. */
    bool hasRecentStoreAnswer(Millis now) const;
    /** How old this gateway's knowledge is, whoever read it; never() where it has none. */
    Millis knowledgeAge(Millis now) const;
    /** Whether it is young enough to be told to others. */
    bool mayShareKnowledge(Millis now) const;
    /** How old the proof of the configuration may get before this gateway reads it. */
    Millis maxProofAge(const StoreRole &role, Millis now) const;
    /** The longest pause between two calls that fail: the fleet together shall not press a store that is away. */
    Millis maxRetryPause(const StoreRole &role) const;

private:
    Millis secondHubMaxAge() const;
    Millis otherHubMaxAge() const;
    Millis followerMaxAge() const;
    /** By how much this gateway tries later than the first one does, where a hub in touch does not reach the store. */
    Millis retryDelay(const StoreRole &role) const;
    bool hasHubContact(Millis now) const;

    enum class Source {
        Store,
        /** A hub that comes before this one and reads the store itself. */
        EarlierHub,
        Peer,
    };
    /** At that moment the store was at revision, or further. */
    struct Claim
    {
        Revision revision = 0;
        Millis at;
        Source source = Source::Store;
    };
    void addClaim(const Claim &claim);
    void applyClaim(const Claim &claim);

    StoreDutySettings settings;
    /** From 0 up to 1: this gateway's place in the order in which all try. */
    double retryOrder = 0;
    Revision listRevision = 0;
    /** Claims that are ahead of the list, the oldest first. */
    std::deque<Claim> pendingClaims;
    Millis storeAnsweredAt;
    Millis firstFullReadAt;
    /** What is surely known of the store by peers' words: all up to that moment. */
    Millis knownByPeersAt;
    /** The same by hubs that come before this one and read the store themselves. */
    Millis knownByEarlierHubAt;
    /** When the newest report was sent that a hub answered. */
    Millis hubContactAt;
};

} // namespace Sequoiausher
