#pragma once

// Whether a gateway reads the platform's store itself or follows what its peers read there. Each call uses capacity of
// the store that its other callers then lack, and if each of 300 gateways read the store, they would make thousands of
// calls a second.
//
// In a fleet with hubs the first hub reads the store, the other hubs get its results, and all other gateways get them
// from a hub. Each report states the maximum age of its sender's knowledge of the store, counted back from the report
// that it answers. So knowledge that is passed around in a circle ages, and a gateway whose knowledge is too old reads
// the store itself: the second hub first, then the other hubs, then all gateways. There is no election: if two hubs
// both consider themselves the first, both read.
//
// A report describes the state of the store. The report counts for this gateway's list of targets only once that list
// has reached the revision of the report.
//
//     StoreDuty duty(settings, seed);
//     duty.recordPeerReport({report.storeAge, report.echo, isFromHub, readsStore, comesBefore, report.targets}, now);
//     duty.recordListRevision(list.revision());
//     watcher.setResting(duty.mayFollowPeers(role, now));

#include "sequoiausher/base/identifiers.h"
#include "sequoiausher/base/millis.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>

namespace Sequoiausher {

/** The time limits that reads of the store must meet. */
struct StoreDutySettings
{
    /** How long after the store lists a target as leaving a gateway may still send requests to it. */
    Millis leaveBound{2000};
    /** How long requests with a key may still be accepted after the key's removal. */
    Millis keyFreshness{5000};
    /**
     * The maximum age of a gateway's proof that its configuration is up to date, in a fleet where all gateways read the
     * store.
     */
    Millis proofInterval{800};
};

/** What a peer's report states about the store. */
struct PeerStoreReport
{
    /** The age of the sender's knowledge; never() where it has none. */
    Millis age = Millis::never();
    /** When the receiver sent the report that the sender received last; 0 for none. */
    Millis echo;
    bool isFromHub = false;
    /** The sender reads the store itself. */
    bool readsStore = false;
    /** The sender is a hub that comes before the receiver in the order of the hubs. */
    bool comesBefore = false;
    /** The store's revision up to which the sender's list of targets is complete. */
    Revision revision = 0;
};

/** The role of this gateway in the fleet, as this gateway sees it. */
struct StoreRole
{
    /** Other gateways are known. */
    bool hasPeers = false;
    bool hasHubs = false;
    /** This gateway's place in the order of the hubs, 0 first; absent where it is no hub. */
    std::optional<std::size_t> hubRank;
    std::size_t fleetSize = 1;
};

/**
 * The longest pause between two failed calls of a hub, or of any gateway in a fleet without hubs. Other gateways pause
 * at least as long.
 */
inline constexpr Millis baseStorePause{800};

/** Decides for one gateway whether it reads the store. Not thread-safe. */
class StoreDuty
{
public:
    /** @param seed of the generator that spreads the retries of the gateways over time. */
    StoreDuty(const StoreDutySettings &settings, std::uint64_t seed);

    void setSettings(const StoreDutySettings &newSettings);
    /** Records an answer of the store with all targets as they were at that moment or later. */
    void recordStoreAnswer(Millis at);
    /**
     * Records an answer of the store which states that its revision was this one at that moment or later. If the list
     * has not reached that revision, the answer proves nothing until it has.
     */
    void recordStoreRevision(Revision revision, Millis at);
    /** Records that the list of targets is complete up to that revision of the store, whatever its source. */
    void recordListRevision(Revision revision);
    /** Records that this gateway requested all data of the store and got an answer. Only the first call counts. */
    void recordFirstFullRead(Millis at);
    void recordPeerReport(const PeerStoreReport &report, Millis now);

    /** Whether this gateway need not list or watch the store for now. */
    bool mayFollowPeers(const StoreRole &role, Millis now) const;
    /** Whether this gateway itself recently got an answer of the store about the targets. */
    bool hasRecentStoreAnswer(Millis now) const;
    /** The age of this gateway's knowledge, whichever gateway read it; never() where it has none. */
    Millis knowledgeAge(Millis now) const;
    /** The moment up to which the list is known to show all targets, whichever gateway read it; 0 without one. */
    Millis knownUpTo() const;
    /** Whether the knowledge is young enough to be reported to others. */
    bool mayShareKnowledge(Millis now) const;
    /** The age of the proof that the configuration is up to date at which this gateway requests a new one. */
    Millis maxProofAge(const StoreRole &role, Millis now) const;
    /** The longest pause between two failed calls: the fleet together must not overload a store that is unavailable. */
    Millis maxRetryPause(const StoreRole &role) const;

private:
    /**
     * The maximum age of knowledge with which the second hub, each other hub, or a gateway that is no hub need not read
     * the store.
     */
    Millis secondHubMaxAge() const;
    Millis otherHubMaxAge() const;
    Millis followerMaxAge() const;
    /**
     * How much later this gateway tries than the first one does, where a hub is reachable that does not reach the
     * store.
     */
    Millis retryDelay(const StoreRole &role) const;
    bool hasHubContact(Millis now) const;

    enum class Source {
        Store,
        /** A hub that comes before this one and reads the store itself. */
        EarlierHub,
        Peer,
    };
    /** The store's revision was this one at that moment or later. */
    struct Claim
    {
        Revision revision = 0;
        Millis at;
        Source source = Source::Store;
    };
    void addClaim(const Claim &claim);
    void applyClaim(const Claim &claim);

    StoreDutySettings settings;
    /** From 0 up to 1: this gateway's place in the order in which all gateways try. */
    double retryOrder = 0;
    Revision listRevision = 0;
    /** Claims with a later revision than the list's, the oldest first. */
    std::deque<Claim> pendingClaims;
    Millis storeAnsweredAt;
    Millis firstFullReadAt;
    /** The moment up to which peers' reports prove the state of the store. */
    Millis knownByPeersAt;
    /** The same moment, counting only reports of hubs that come before this one and read the store themselves. */
    Millis knownByEarlierHubAt;
    /** When this gateway sent the newest report that a hub answered. */
    Millis hubContactAt;
};

} // namespace Sequoiausher
