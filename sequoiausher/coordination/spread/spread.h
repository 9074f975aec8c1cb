#pragma once

// Distributes configuration documents to the fleet. A few readers watch the platform's service and send new documents
// along a tree of routers. Digests on gossip find documents that a router missed, and the router then fetches them.
//
//     Spread spread(self, seed, {});
//     spread.setFleet(now, {listed, reachable});
//     if (spread.readPlan(now) == ReadPlan::Watch) { ... }      // the caller reads the service
//     spread.addServiceDocuments(now, documents, true, outbox);
//     spread.receive(now, from, push, outbox);
//     spread.tick(now, outbox);
//     configuration.offer(spread.documents());

#include "sequoiausher/base/millis.h"
#include "sequoiausher/base/nametable.h"
#include "sequoiausher/coordination/messages/peermessage.h"
#include "sequoiausher/state/documents/documenttable.h"

#include <memory>
#include <string>
#include <vector>

namespace Sequoiausher {

/** What this router should read from the platform's service now. */
enum class ReadPlan {
    /** Nothing: peers send the documents. */
    Nothing,
    /** One call for the list of instances, to find peers. */
    Instances,
    /** Watch the service, and read each document that is newer than the known one. */
    Watch,
};

template<>
inline constexpr auto nameTable<ReadPlan> = std::to_array<NameEntry<ReadPlan>>({
    {ReadPlan::Nothing, "nothing"},
    {ReadPlan::Instances, "instances"},
    {ReadPlan::Watch, "watch"},
});

struct SpreadSettings
{
    /** Number of routers that watch the service while the service answers. */
    std::size_t readers = 3;
    /** Largest number of routers that watch while no reader gets an answer. */
    std::size_t maxReaders = 24;
    /** Number of peers to which a router sends a new document. */
    std::size_t fanOut = 8;
    std::uint32_t maxHops = 16;
    /** Largest total size of the documents in one push, in bytes; a larger document is sent on its own. */
    std::size_t pushBytes = 64 * 1024;
    /** Time for an announced document to arrive by push before it is pulled. */
    Millis announcedPullDelay{200};
    /** No repair while the own table changed more recently than this, as the missing push is probably in flight. */
    Millis repairQuietPeriod{500};
    /** A digest that differed for this long is repaired although the table keeps changing. */
    Millis mismatchTimeout{3000};
    /** Shortest time between two repairs that one router starts. */
    Millis compareInterval{300};
    Millis pullTimeout{2000};
    /** Number of ready peers with which a new router compares its documents before it becomes ready. */
    std::size_t syncPeers = 2;
    /** Number of peers to which a router that is not ready sends comparisons per syncInterval. */
    std::size_t syncRequestPeers = 3;
    /**
     * This long after the start, one ready peer is enough: when all routers restart, two ready peers would be rare for
     * long. This long after the first peer was reachable, the service's documents are enough without any peer.
     */
    Millis syncTimeout{3000};
    Millis syncInterval{1000};
    /** Time without any reachable peer after which a router reads the service itself. */
    Millis isolationTimeout{5000};
    /**
     * The first read of a router that is not a reader is delayed by a random time up to this, so that a restart of n
     * routers causes n / maxReadDelay reads a second.
     */
    Millis maxReadDelay{5000};
    /** The service counts as silent if no reader got an answer for this long; longer than a watch waits. */
    Millis serviceSilenceTimeout{30000};
    /**
     * After a pause a router is not ready until a peer or a complete read of the service confirms its documents, for at
     * most this long.
     */
    Millis refreshTimeout{2000};
    /** A longer time without a tick means that this process was paused, even before the next tick detects the pause. */
    Millis maxTickGap{2000};
};

/** The routers as this router sees them; both lists can include this router itself. */
struct FleetView
{
    /** From the platform's list. */
    std::vector<InstanceId> listed;
    /** Membership::reachable(): this router, and listed routers that seem to answer and are not gone. */
    std::vector<InstanceId> reachable;
};

/** The state of the documents that gossip carries. */
struct DocumentSummary
{
    std::uint64_t digest = 0;
    Revision highestRevision = 0;
    Millis serviceAge;
};

/**
 * One router's part in the distribution. Times are read from this router's monotonic clock; clocks of two routers are
 * never compared. Documents never return to older revisions, see DocumentTable. Not thread-safe.
 */
class Spread
{
public:
    Spread(InstanceId self, std::uint64_t seed, const SpreadSettings &settings);
    ~Spread();

    /** Sets the current view; call on each change of the platform's list or of reachability. */
    void setFleet(Millis now, const FleetView &view);

    /**
     * Returns whether this router watches the service. Readers are the first routers in rendezvous order of the
     * platform's list, or of the reachable routers, so that the next router takes over from a failed reader. There are
     * more readers while the service is silent.
     */
    bool isReader(Millis now) const;

    /** Returns what to read from the service now. */
    ReadPlan readPlan(Millis now) const;

    /** Selects the names from the service's list whose revisions are newer than known, and whose bodies to read. */
    std::vector<std::string> selectNamesToRead(const std::vector<DocumentVersion> &listed) const;

    /** Call when the service answered, even with nothing new. */
    void serviceAnswered(Millis now);

    /**
     * Adds documents read from the service and sends new ones to peers.
     * @param isComplete whether this router now has everything that the service lists, which can be enough to be ready
     * without peers.
     */
    void addServiceDocuments(Millis now, const std::vector<Document> &documents, bool isComplete, Outbox &outbox);

    /**
     * Stores the last good revisions of refused documents. Each router that has such revisions stores them, and digests
     * bring them to the routers that lack them.
     */
    void storeLastGood(Millis now, const std::vector<Document> &lastGood);

    void receive(Millis now, const InstanceId &from, const DocumentPush &push, Outbox &outbox);
    void receive(Millis now, const InstanceId &from, const DocumentDigest &digest, Outbox &outbox);
    void receive(Millis now, const InstanceId &from, const DocumentPull &pull, Outbox &outbox);

    /**
     * Compares the digest in a peer's gossip with the own one. If they differ, starts a repair once the own table has
     * been unchanged for repairQuietPeriod, or once digests have differed for mismatchTimeout; at most one per
     * compareInterval.
     */
    void receiveGossip(Millis now, const InstanceId &from, const Gossip &gossip, Outbox &outbox);

    /** Sends overdue pulls and due comparisons; call a few times a second. */
    void tick(Millis now, Outbox &outbox);

    /**
     * Call after a pause of this process: the router compares with peers, and is not ready until its documents are
     * confirmed or refreshTimeout has passed.
     */
    void resumeAfterPause(Millis now, Outbox &outbox);

    /** Returns whether the documents may be used: complete from peers or the service, and not outdated by a pause. */
    bool isReady(Millis now) const;

    const DocumentTable &documents() const;
    DocumentSummary summary(Millis now) const;

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace Sequoiausher
