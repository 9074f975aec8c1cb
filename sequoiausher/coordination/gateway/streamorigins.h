#pragma once

// Which software version began a stream, by the attempt of a caller that brought its first event, so that a stream
// which its caller takes up goes on at that version, at whichever gateway.
//
// The gateway that sends the first event keeps the origin of the stream and tells it to a few others, which everybody
// finds by a hash of the attempt. An origin is told once and never changes, so each copy is true for as long as it is
// kept, and no gateway has to be asked about an earlier word of another. What may be missing is a copy: then nobody
// knows, and a stream whose version is not known does not go on unless there was only one.
//
// That there was only one is proven by this gateway's own list, once it is known to be complete up to the moment at
// which the question was put: the stream began before it, at a target that was listed before. That proof always comes
// later than the question, so the question waits for it for a while.
//
//     StreamOrigins origins(peers);
//     send(origins.record(key, {service, "v1.2"}, timeLeft, now));          // with the first event
//     send(origins.find({key, service, span}, now, [](const OriginFinding &finding) { ... }));
//     send(origins.receive(from, message, now));

#include "sequoiausher/base/identifiers.h"
#include "sequoiausher/base/millis.h"
#include "sequoiausher/coordination/gateway/peerdirectory.h"
#include "sequoiausher/coordination/gateway/versionhistory.h"
#include "sequoiausher/coordination/messages/peermessage.h"
#include "sequoiausher/coordination/messages/streamoriginmessages.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace Sequoiausher {

/** Configures how many gateways keep an origin, and for how long. */
struct StreamOriginSettings
{
    /** Gateways that an origin is told to, beside the one that sent the first event. */
    std::size_t copies = 3;
    /**
     * Gateways that are asked: those that were told, and as many more as the order may have shifted by since, because
     * gateways came and went.
     */
    std::size_t asked = 6;
    /** In a fleet up to this size all others are asked. */
    std::size_t askAllFleetSize = 10;
    /** In a larger fleet than this, only so many gateways keep origins, which limits the number of connections. */
    std::size_t keepers = 32;
    /** Without all answers after this time, what is known by then decides. */
    Millis answerTimeout{150};
    /** So long after the question the own list has to be proven complete up to the question. */
    Millis proofTimeout{1000};
    /** No origin is kept for longer, whatever its teller says. */
    Millis maxTtl{120000};
    /** Beyond so many, the one that would be forgotten first is dropped. */
    std::size_t maxOrigins = 65536;
};

/** What is asked about a stream. */
struct OriginQuestion
{
    StreamKey key;
    /** The service that the request leads to. */
    PoolId service;
    /** The longest time since the stream began. */
    Millis span;
    /** The question waits for no longer for a proof, if that is less than the settings allow. */
    Millis mostHeld = Millis::never();
};

/** Computes the key of a stream. @param caller empty where the route needs no key. */
StreamKey streamKeyOf(const OrganisationId &caller, const std::string &attemptId);

/** Not thread-safe. */
class StreamOrigins
{
public:
    /** Receives the result: Recorded or Only with the version, or Several or Unknown. */
    using Found = std::function<void(const OriginFinding &finding)>;

    /** peers outlives this. */
    explicit StreamOrigins(PeerDirectory &peers, const StreamOriginSettings &settings = {});
    ~StreamOrigins();

    void setTargets(const std::vector<GatewayTarget> &targets, Millis now);
    /** A target was written, which may be removed before the next list; as in VersionHistory. */
    void recordWritten(const GatewayTarget &target, Millis now);
    /** Records that the list shows all targets that were written up to that moment; as in VersionHistory. */
    void recordProof(Millis at);
    /** Records that the store or a peer was heard; as in VersionHistory. */
    void recordContact(Millis now);
    /** Records that the store was restored from a copy. */
    void recordRestore(Millis now);
    /**
     * Records which service and version send the first event of a stream, for as long as its caller may take it up.
     * @return what to tell other gateways, before the caller gets the event.
     */
    Outbox record(const StreamKey &key, const StreamOrigin &origin, Millis ttl, Millis now);
    /** Finds the origin; found is called once, maybe at once. @return what to ask other gateways. */
    Outbox find(const OriginQuestion &question, Millis now, Found found);
    /**
     * Finds the only version that the service had within the span, by this gateway's own list, for a stream that its
     * caller does not name; the question's key is not used.
     */
    void findOnly(const OriginQuestion &question, Millis now, Found found);
    /** Whether a question waits for a proof of the list alone, so that other gateways should be asked for one. */
    bool awaitsProof(Millis now) const;
    /** Processes a message of another gateway. @return the answer to it, if it is a question. */
    Outbox receive(const InstanceId &from, const GatewayStreamOrigin &message, Millis now);
    /** Ends questions that were not answered in time, and forgets old origins. */
    void tick(Millis now);
    /** The number of origins that are kept. */
    std::size_t size() const;

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace Sequoiausher
