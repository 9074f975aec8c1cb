#pragma once

// How sure a gateway is that it knows the newest configuration. A key that was taken away must not open anything after
// a bounded time, also at a gateway that cannot reach the store: it goes by the last moment at which it is recordProof
// that nothing newer was published, and refuses once that lies too far back.
//
// A proof is an answer of the store, dated by the start of the call, or a peer's report, dated by the report of this
// gateway that it echoes: the peer wrote its report after it had that one, so what the peer knew then is at least as
// young as that. No clock is compared with another machine's, and a report that a partition held back proves nothing
// more than what it echoes. Times are of a clock that goes on while the machine is suspended.
//
// A proof of a version holds for each newer one that is in hand: nothing newer than the older one was published at that
// moment, so nothing newer than the newer one was. Whatever took a key away that the newer one still has was therefore
// published later than that moment.
//
//     Freshness freshness;
//     freshness.recordProof(version, callStartedAt);
//     if (freshness.age(version, now) > longest) { refuse(); }

#include "sequoiausher/base/identifiers.h"
#include "sequoiausher/base/millis.h"

#include <map>

namespace Sequoiausher {

/** The newest proof of each version of late. Not thread-safe. */
class Freshness
{
public:
    /** At the moment at, nothing newer than version was published. */
    void recordProof(Revision version, Millis at);
    /**
     * A peer's report. @param version what it has in force. @param proofAge its own age; never() for none.
     * @param echo when this gateway sent the report that the peer had before; 0 for none.
     */
    void recordPeerProof(Revision version, Millis proofAge, Millis echo);

    /**
     * How long ago nothing newer than version was surely published, by a proof of it or of an older one; never() where
     * there is none. Were proofs of older ones thrown away, a storm of changes would leave a gateway without any proof
     * for the 40 ms from each version's arrival to its own proof, in which it refuses all that need a key.
     */
    Millis age(Revision version, Millis now) const;
    /**
     * A newer version is known to be published. What version says still holds for as long as its own last proof lets
     * it, but nothing may be denied for want of a newer one's routes and keys.
     */
    bool isBehind(Revision version) const;
    /** The newest version known to have been published; 0 before the first. */
    Revision newest() const;

private:
    /** The last moment at which nothing newer than each of the newest versions was published. */
    std::map<Revision, Millis> proofs;
};

} // namespace Sequoiausher
