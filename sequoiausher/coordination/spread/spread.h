#pragma once

// Spreads configuration documents through the fleet: a few readers watch the platform's service, new documents travel
// down a tree of routers, and digests on the gossip find and repair what that missed.
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
    /** Nothing: the peers tell. */
    Nothing,
    /** One call for the list of instances, to find peers. */
    Instances,
    /** Watch the service, and read each document that is newer than known. */
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
    /** Routers that watch the service while it answers them. */
    std::size_t readers = 3;
    /** The most routers that watch when no reader has an answer. */
    std::size_t maxReaders = 24;
    /** Peers to which a router passes a new document. */
    std::size_t fanOut = 8;
    std::uint32_t maxHops = 16;
    /** Bodies in one push, in bytes; a single larger document travels alone. */
    std::size_t pushBytes = 64 * 1024;
    /** How long an announced document may take to arrive by itself before it is pulled. */
    Millis announcedPullDelay{200};
    /** No repair while the own table changed more recently than this: the missing push is likely on its way. */
    Millis repairQuietPeriod{500};
    /** A digest that differed this long is repaired although the table keeps changing. */
    Millis mismatchTimeout{3000};
    /** The least time between two repairs that one router starts. */
    Millis compareInterval{300};
    Millis pullTimeout{2000};
    /** Ready peers with which a fresh router compares all it knows before it is ready itself. */
    std::size_t syncPeers = 2;
    /** Peers that it asks at each interval. */
    std::size_t syncRequestPeers = 3;
    /** After so long one ready peer is enough: when all start anew, two would be rare for long. */
    Millis multiPeerSyncTimeout{3000};
    Millis syncInterval{1000};
    /** How long without any reachable peer until a router reads the service itself. */
    Millis isolationTimeout{5000};
    /** The first read of a router that is no reader falls at random into this span, so that a mass restart of n
     *  routers makes n / span reads a second. */
    Millis maxReadDelay{5000};
    /** The service counts as silent when no reader had an answer for so long; longer than a watch waits. */
    Millis serviceSilenceTimeout{30000};
    /** A router that woke late is unready until a peer confirmed what it knows, for at most this long. */
    Millis refreshTimeout{2000};
    /** A longer time without a tick means that this process slept, though it may not have noticed yet. */
    Millis maxTickGap{2000};
};

/** The routers as this one sees them; both lists hold this router itself. */
struct FleetView
{
    /** From the platform's list. */
    std::vector<InstanceId> listed;
    /** Those of them that answer and are not leaving. */
    std::vector<InstanceId> reachable;
};

/** What rides on gossip about the documents. */
struct DocumentSummary
{
    std::uint64_t digest = 0;
    Revision highestRevision = 0;
    Millis serviceAge;
};

/**
 * One router's part in the spread. Times are this router's monotonic clock; nothing compares clocks of two routers.
 * Documents never go back, see DocumentTable. Not thread-safe.
 */
class Spread
{
public:
    Spread(InstanceId self, std::uint64_t seed, const SpreadSettings &settings);
    ~Spread();

    /** Tells the current view; call on each change of the platform's list or of reachability. */
    void setFleet(Millis now, const FleetView &view);

    /**
     * Whether this router watches the service: among the first by rendezvous over the platform's list, or over those
     * that are reachable, so that the next takes over from a failed one; more routers do while the service is silent.
     */
    bool isReader(Millis now) const;

    /** What to read from the service now; see ReadPlan. */
    ReadPlan readPlan(Millis now) const;

    /** Of a list that the service gave, the names whose bodies are to be read: newer than known. */
    std::vector<std::string> selectNamesToRead(const std::vector<DocumentVersion> &listed) const;

    /** The service answered, be it with nothing new. */
    void serviceAnswered(Millis now);

    /**
     * Documents read from the service.
     * @param isComplete with these, everything that the service lists has been learnt: enough to be ready alone.
     */
    void addServiceDocuments(Millis now, const std::vector<Document> &documents, bool isComplete, Outbox &outbox);

    /**
     * Takes up the last good revisions of refused documents. Each router that has them does the same, and digests bring
     * them to those that have not.
     */
    void storeLastGood(Millis now, const std::vector<Document> &lastGood);

    void receive(Millis now, const InstanceId &from, const DocumentPush &push, Outbox &outbox);
    void receive(Millis now, const InstanceId &from, const DocumentDigest &digest, Outbox &outbox);
    void receive(Millis now, const InstanceId &from, const DocumentPull &pull, Outbox &outbox);

    /** Gossip came from a peer: compares digests and starts a repair where they differ for longer than a push takes. */
    void receiveGossip(Millis now, const InstanceId &from, const Gossip &gossip, Outbox &outbox);

    /** Time passes; call a few times a second. */
    void tick(Millis now, Outbox &outbox);

    /** This router slept: it compares with peers before it counts as ready again. */
    void resumeAfterPause(Millis now, Outbox &outbox);

    /** Whether the documents may be acted on: learnt from peers or the whole service, and not just woken late. */
    bool isReady(Millis now) const;

    const DocumentTable &documents() const;
    DocumentSummary summary(Millis now) const;

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace Sequoiausher
